package journaler

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"

	"github.com/cockroachdb/errors"

	"github.com/rattantray/rattantray/internal/cataloger"
	"github.com/rattantray/rattantray/internal/linker"
	"github.com/rattantray/rattantray/internal/storer"
	"github.com/rattantray/rattantray/internal/timer"
	"github.com/rattantray/rattantray/pkg/refuser"
)

// Journaler is the journal of one daemon.
type Journaler struct {
	Clock timer.Clock
	Store storer.Store
	Link  linker.Link
	// Self returns this daemon.
	Self func() cataloger.Member
	// Owner returns the live member that a shard belongs to.
	Owner func(shard uint32) (cataloger.Member, bool)
	// Alive tells whether an incarnation of a member may still be running.
	Alive func(name string, incarnation uint64) bool
}

// Run serves the shards of this daemon until ctx is done.
func (j *Journaler) Run(ctx context.Context) error {
	<-ctx.Done()
	return nil
}

// Handlers returns the calls that other daemons make, by method name.
func (j *Journaler) Handlers() map[string]linker.Handler { return map[string]linker.Handler{} }

type objectRecord struct {
	PayloadDigest [32]byte
	Fact          refuser.Fact
	Answer        Answer
	Kept          bool
	Digest        [32]byte
}

func (r objectRecord) outcome() Outcome {
	return Outcome{
		Fact:     r.Fact,
		Running:  r.Fact == refuser.FactMayHaveRun,
		Answer:   r.Answer,
		Kept:     r.Kept,
		Digest:   r.Digest,
		Replayed: true,
	}
}

func objectKey(workspace cataloger.Workspace, id string) string {
	sum := sha256.Sum256([]byte(string(workspace) + "\x00" + id))
	return "journal/requests/" + hex.EncodeToString(sum[:])
}

// Execute runs a request unless it ran before, and returns its outcome or a refusal.
func (j *Journaler) Execute(ctx context.Context, r Request, run RunFunc) (Outcome, error) {
	key := objectKey(r.Workspace, r.ID)
	claim := objectRecord{PayloadDigest: r.PayloadDigest, Fact: refuser.FactMayHaveRun}
	version, err := j.put(ctx, key, claim, 0)
	switch {
	case errors.Is(err, storer.ErrConflict):
		return j.earlier(ctx, key, r)
	case errors.Is(err, storer.ErrUncertain):
		return Outcome{}, refuser.New(refuser.OutcomeUncertain, "the claim's write gave no answer").WithCause(err)
	case err != nil:
		return Outcome{}, refuser.New(refuser.StoreUnavailable, "%s", err).WithCause(err)
	}
	answer, runErr := run(ctx)
	done := claim
	switch {
	case runErr == nil:
		done.Fact = refuser.FactRan
		done.Digest = sha256.Sum256(answer.Body)
		if len(answer.Body) <= r.AnswerBytes {
			done.Kept = true
			done.Answer = answer
		}
	case refuser.From(runErr).Fact == refuser.FactNotRun:
		_, _ = j.Store.Delete(ctx, key, version)
		return Outcome{}, runErr
	}
	_, _ = j.put(ctx, key, done, version)
	if runErr != nil {
		return Outcome{}, runErr
	}
	return Outcome{Fact: refuser.FactRan, Answer: answer, Kept: true, Digest: done.Digest}, nil
}

func (j *Journaler) put(ctx context.Context, key string, r objectRecord, expected uint64) (uint64, error) {
	b, err := json.Marshal(r)
	if err != nil {
		return 0, err
	}
	return j.Store.Put(ctx, key, b, expected)
}

func (j *Journaler) earlier(ctx context.Context, key string, r Request) (Outcome, error) {
	rec, err := j.get(ctx, key)
	if err != nil {
		return Outcome{}, refuser.New(refuser.OutcomeUncertain, "%s", err).WithCause(err)
	}
	if rec.PayloadDigest != r.PayloadDigest {
		return Outcome{}, refuser.New(refuser.RequestIDReused, "request id %q", r.ID)
	}
	switch {
	case rec.Kept:
		return rec.outcome(), nil
	case rec.Fact == refuser.FactRan:
		return Outcome{}, refuser.New(refuser.AlreadyRan, "request id %q", r.ID).WithDigest(rec.Digest[:])
	}
	return Outcome{}, refuser.New(refuser.OutcomeUncertain, "request id %q was claimed before", r.ID)
}

func (j *Journaler) get(ctx context.Context, key string) (objectRecord, error) {
	o, err := j.Store.Get(ctx, key)
	if err != nil {
		return objectRecord{}, err
	}
	var rec objectRecord
	return rec, json.Unmarshal(o.Value, &rec)
}

// Get returns the outcome of an earlier request.
func (j *Journaler) Get(ctx context.Context, workspace cataloger.Workspace, id string) (Outcome, error) {
	rec, err := j.get(ctx, objectKey(workspace, id))
	if errors.Is(err, storer.ErrNotFound) {
		return Outcome{}, nil
	}
	if err != nil {
		return Outcome{}, refuser.New(refuser.StoreUnavailable, "%s", err).WithFact(refuser.FactMayHaveRun).WithCause(err)
	}
	return rec.outcome(), nil
}
