package dispatcher

import (
	"context"
	"slices"

	"github.com/rattantray/rattantray/internal/quarantiner"
	"github.com/rattantray/rattantray/pkg/refuser"
)

// admit returns a refusal if the prompt has crashed its engines. A stream that has begun is continued: its prompt crashes none.
func (r *run) admit() error {
	if r.hasBegun() {
		return nil
	}
	if d := r.d.Quarantiner.Admit(r.keys); d.Verdict == quarantiner.Quarantined {
		return refuser.New(refuser.Quarantined, "this prompt has crashed its engines").WithFact(r.fact()).WithRetryAfter(d.Wait)
	}
	return nil
}

// hasBegun reports whether an engine has answered the prompt with a token, here or on the entry that began the stream.
func (r *run) hasBegun() bool {
	return len(r.job.Held.Route.Stages) > 0 || r.checker.NextPosition() > 0
}

// recordCrash records the crash of an engine before the first token: its stream broke, and it does not answer.
func (r *run) recordCrash(ctx context.Context, p plan, f *failure) {
	if f.kind != failedBroken || f.target == "" || r.hasBegun() {
		return
	}
	if slices.Contains(r.unresponsiveTargets(ctx, p.route), f.target) {
		// The prompt is the same at each crash, so the crashes count as those of different requests.
		crash := quarantiner.TargetID(f.target, uint64(r.d.Clock.Now().UnixMilli()))
		r.d.Quarantiner.RecordCrash(r.keys, crash, crash)
	}
}

// recordAnswered clears a suspected prompt that was answered.
func (r *run) recordAnswered() {
	if !r.d.Quarantiner.MayRepeat(r.keys) {
		r.d.Quarantiner.RecordAnswered(r.keys)
	}
}
