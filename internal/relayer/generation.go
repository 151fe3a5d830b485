package relayer

import (
	"context"
	"io"
	"maps"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/rs/zerolog"

	"github.com/rattantray/rattantray/internal/cataloger"
	"github.com/rattantray/rattantray/internal/exchanger"
	"github.com/rattantray/rattantray/internal/forecaster"
	"github.com/rattantray/rattantray/internal/quarantiner"
	"github.com/rattantray/rattantray/pkg/refuser"
)

const (
	// maxSends bounds the sends of one generation. Those that did not run, and those to targets that are gone, do not
	// count toward the attempts that its route allows.
	maxSends = 4
	// noPathRetry is the minimum retry delay if nobody holds some layers: about the time of a load.
	noPathRetry = time.Second
	readBuffer  = 16 << 10
)

// errRequestLost ends a send that its first target seems to have lost.
var errRequestLost = errors.New("the target does not begin")

// errQuarantined ends a send that would crash its target.
var errQuarantined = errors.New("requests like this one crash targets")

// errMoved ends a send so that its stream continues on another pipeline.
var errMoved = errors.New("stream is moved to another pipeline")

// errLinkLost ends a send over a link of this daemon that is lost, so that its request continues over another daemon.
var errLinkLost = errors.New("link to the target is lost")

// generation is a request to model engines, across all its sends.
type generation struct {
	relayer *Relayer
	request *Request
	w       http.ResponseWriter
	// keys identify what may crash targets: the parts of the prompt, and last the request as a whole.
	keys []quarantiner.Key
	// content is the key of the request as a whole.
	content quarantiner.Key
	// suspected is the key that may crash the target of the next send; nil if none is suspected.
	suspected *quarantiner.Key
	events    events
	// headWritten is true once the head of the answer was written.
	headWritten bool

	// mu guards what the watchdog and handovers read and change.
	mu sync.Mutex
	// mayHaveRun is true once the request may have run on some target.
	mayHaveRun bool
	// sends counts the sends before the current one, and runs those that may have run on a target that is still there.
	sends int
	runs  int
	avoid map[string]bool
	// mediaType is that of the answer; nil until its head was written.
	mediaType *string
	// sentTo names the first targets of all sends.
	sentTo []string
	// current is the send in progress, and successor the one that is to take over from it; nil if there is none.
	current   *leg
	successor *leg
	// failedHandovers counts the handovers that failed, and handOverAt is when the next one may be tried.
	failedHandovers int
	handOverAt      time.Time
	path            []cataloger.Stage
	lastProgress    time.Time
	// lastEvent is the id of the last event that was delivered.
	lastEvent string
	// eventCount is the number of events with ids that were delivered.
	eventCount int
	// deliveredAt is when the last event was delivered.
	deliveredAt time.Time
	meanGap     time.Duration
	started     bool
	// abandoned is true if the current send was ended before it began, and accepting while bytes of it are accepted.
	abandoned, accepting bool
	// harmless is true once a send has proved that the request does not crash targets: its answer went on after it began.
	harmless bool
	// trial is true if the current send was admitted to end a quarantine.
	trial bool
	// sendStarted is when the current send began.
	sendStarted time.Time
	// linkLost is true if the current send was ended because its link is lost.
	linkLost bool
	// retryPrepaid is true if the next send was already taken out of the budget.
	retryPrepaid bool
	// firstEventTime is the time to the first event, longestGap the longest gap after it.
	firstEventTime time.Duration
	longestGap     time.Duration
	repaths        int
	repairing      bool
	// repairAt is when the next repair may be tried.
	repairAt time.Time
	cancel   context.CancelCauseFunc
	release  func()

	// forecaster decides whether the stream is too slow; only the watchdog uses it.
	forecaster forecaster.Forecaster
}

// sendResult is how a send ended.
type sendResult int

const (
	// sendDone means that the answer is complete, or the refusal is final.
	sendDone sendResult = iota
	// sendRetry means that another send may serve the request.
	sendRetry
)

// generate relays a request over pipelines until its answer is complete.
func (r *Relayer) generate(ctx context.Context, w http.ResponseWriter, req *Request) *refuser.Refusal {
	g := &generation{relayer: r, request: req, w: w, keys: req.keys(), content: req.contentKey(), avoid: map[string]bool{}, lastEvent: req.ResumeAfter}
	g.events.last = req.ResumeAfter
	g.events.resumed = req.ResumeAfter != ""
	refusal := jitterRetryAfter(g.run(ctx))
	first := g.firstEventTime
	if first == 0 {
		first = notMeasured
	}
	if refusal == nil {
		r.recordAnswerTime(r.Clock.Now().Sub(req.Arrived))
	}
	r.logEnd(req, refusal, first, g.describe)
	if refusal != nil && g.headWritten {
		// The answer has begun and must not look complete.
		panic(http.ErrAbortHandler)
	}
	return refusal
}

// describe adds the outcome of the generation to its last log line.
func (g *generation) describe(e *zerolog.Event) {
	g.mu.Lock()
	defer g.mu.Unlock()
	e.Int("sends", g.sends).Int("runs", g.runs).Int("repaths", g.repaths).Str("last", g.events.last).Dur("first", g.firstEventTime).
		Dur("longest-gap", g.longestGap).Int("stages", len(g.path))
}

// run sends the request until its answer is complete or its refusal final.
func (g *generation) run(ctx context.Context) *refuser.Refusal {
	defer g.dropSuccessor()
	for repeat := false; ; repeat = true {
		result, refusal := g.sendNext(ctx, repeat)
		if result == sendDone {
			return refusal
		}
		if g.relayer.expired(ctx, g.request) || !g.maySend() {
			return g.finalRefusal(ctx, refusal)
		}
	}
}

// sendNext continues with the successor of the last send, if there is one, or sends the request over a new path.
func (g *generation) sendNext(ctx context.Context, repeat bool) (sendResult, *refuser.Refusal) {
	if l := g.takeSuccessor(); l != nil {
		g.register(l)
		<-l.done
		return g.follow(l)
	}
	if refusal := g.admit(repeat); refusal != nil {
		return sendDone, g.finalRefusal(ctx, refusal)
	}
	path, refusal := g.findPermittedPath(ctx)
	if refusal != nil {
		return sendDone, g.finalRefusal(ctx, refusal)
	}
	// The budget counts sends, so nothing is taken out before there is a path.
	if repeat && !g.prepayRetry() {
		return sendDone, g.finalRefusal(ctx, refuser.New(refuser.RetryBudgetSpent, "no repeat is left").WithRetryAfter(noPathRetry))
	}
	g.consumePrepaid()
	g.mu.Lock()
	number := g.sends + 1
	g.mu.Unlock()
	l := g.open(ctx, path, g.events.last, number)
	if l == nil {
		return sendRetry, refuser.New(refuser.NoTarget, "%s has just left", path[0].Target).WithRetryAfter(noPathRetry)
	}
	g.register(l)
	g.relayer.exchange(l)
	return g.follow(l)
}

// admit returns a refusal if the request must not be sent, or not be sent again, as requests like it crash targets.
func (g *generation) admit(repeat bool) *refuser.Refusal {
	d := g.relayer.Quarantiner.Check(g.keys)
	if !repeat {
		d = g.relayer.admit(g.keys)
	}
	g.mu.Lock()
	g.trial = d.Trial
	g.mu.Unlock()
	g.suspected = nil
	if d.Verdict == quarantiner.Suspect {
		g.suspected = &g.keys[d.Index]
	}
	if d.Verdict != quarantiner.Quarantined {
		return nil
	}
	if d.Index == len(g.keys)-1 {
		return quarantinedRequest().WithRetryAfter(d.Wait)
	}
	return refuser.New(refuser.Quarantined, "requests with part %s in their prompts crash targets", g.request.PromptParts[d.Index]).WithRetryAfter(d.Wait)
}

// countSend counts a send that has ended, and whether it may have run on a first stage that is still there.
func (g *generation) countSend(first cataloger.Target, ran bool) {
	v, ok := g.relayer.Targets.Get(first.Name)
	isThere := ok && v.Incarnation == first.Incarnation && !g.relayer.hasCrashed(first)
	g.mu.Lock()
	defer g.mu.Unlock()
	g.sends++
	if ran && isThere {
		g.runs++
	}
}

// maySend reports whether the request may be sent again.
func (g *generation) maySend() bool {
	g.mu.Lock()
	mayHaveRun, sendsLeft := g.mayHaveRun, g.sends < maxSends && g.runs < max(g.request.Route.MaxAttempts, 1)
	g.mu.Unlock()
	return sendsLeft && (!mayHaveRun || g.mayRepeat())
}

// mayRepeat reports whether a request that may have run may be sent again: a stream that may be resumed and is not suspected
// to crash its targets.
func (g *generation) mayRepeat() bool {
	return g.request.Route.Resumable && g.relayer.Quarantiner.MayRepeat(g.keys)
}

// isSuspect reports whether the request must stay where it is, as it may be one that crashes its targets. A single crash elsewhere
// is no reason: most of the requests that a target had not answered are sound.
func (g *generation) isSuspect() bool {
	g.mu.Lock()
	harmless, current := g.harmless, g.current
	g.mu.Unlock()
	if harmless {
		return false
	}
	if !g.relayer.Quarantiner.MayRepeat(g.keys) {
		return true
	}
	return current != nil && g.relayer.hasCrashed(current.first) && g.relayer.Quarantiner.Check(g.keys).Verdict != quarantiner.Clear
}

// finalRefusal returns the refusal that ends the request.
func (g *generation) finalRefusal(ctx context.Context, refusal *refuser.Refusal) *refuser.Refusal {
	fact := refuser.FactNotRun
	g.mu.Lock()
	if g.mayHaveRun {
		fact = refuser.FactMayHaveRun
	}
	g.mu.Unlock()
	if g.relayer.expired(ctx, g.request) {
		refusal = g.relayer.expiryRefusal(ctx, g.request, fact)
	}
	return refusal.WithFact(fact)
}

// follow relays the answer to a send.
func (g *generation) follow(l *leg) (sendResult, *refuser.Refusal) {
	defer l.cancel(nil)
	defer g.unregister()
	if l.reply != nil {
		defer func() { _ = l.reply.Body.Close() }()
	}
	if refusal := g.handleNoAnswer(l); refusal != nil {
		return sendRetry, refusal
	}
	result, refusal := g.handleReply(l.ctx, l.first, l.reply)
	g.countSend(l.first, true)
	return result, refusal
}

// handleNoAnswer returns a refusal if a send brought no answer of a target that ran the request.
func (g *generation) handleNoAnswer(l *leg) *refuser.Refusal {
	if l.err != nil {
		if errors.Is(l.err, exchanger.ErrNotSent) && l.ctx.Err() == nil {
			l.pacing.RecordTrouble(l.first.Name)
		}
		refusal := g.handleSendError(l.ctx, l.first, l.err)
		g.countSend(l.first, !errors.Is(l.err, exchanger.ErrNotSent))
		return refusal
	}
	if l.reply.NotRun {
		g.countSend(l.first, false)
		return g.handleRefusal(l)
	}
	g.recordRun()
	return nil
}

// recordRun records that the request may have run.
func (g *generation) recordRun() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.mayHaveRun = true
}

// avoidTarget keeps further sends from a target.
func (g *generation) avoidTarget(name string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.avoid[name] = true
}

// avoided returns the targets that further sends avoid.
func (g *generation) avoided() map[string]bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return maps.Clone(g.avoid)
}

// handleReply handles the answer of a target that ran the request.
func (g *generation) handleReply(ctx context.Context, first cataloger.Target, reply *Reply) (sendResult, *refuser.Refusal) {
	if g.continues(reply) {
		return g.relay(ctx, first, reply)
	}
	return g.handleFailure(reply)
}

// continues reports whether a reply is a success of the same type as the answer, if that has begun.
func (g *generation) continues(reply *Reply) bool {
	if !reply.IsSignedSuccess() {
		return false
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.mediaType == nil || *g.mediaType == mediaType(reply.Header)
}

// mediaType returns the media type of an answer without its parameters.
func mediaType(h http.Header) string {
	name, _, _ := strings.Cut(h.Get("Content-Type"), ";")
	return strings.ToLower(strings.TrimSpace(name))
}

// servesWholeModel reports whether each target holds the whole model, so that no path is named.
func (r *Relayer) servesWholeModel(req *Request) bool { return req.Service.Engine.Layers == 0 }

// handleSendError handles a send that brought no answer.
func (g *generation) handleSendError(ctx context.Context, first cataloger.Target, err error) *refuser.Refusal {
	if errors.Is(err, exchanger.ErrNotSent) {
		if ctx.Err() == nil {
			g.relayer.recordFailure(first, err.Error())
			g.avoidTarget(first.Name)
		}
		return refuser.New(refuser.NoPipeline, "%s: %s", first.Name, err).WithRetryAfter(noPathRetry)
	}
	if ctx.Err() == nil {
		g.handleBrokenConnection(first, false)
	}
	g.recordRun()
	g.avoidAfter(ctx, first)
	if errors.Is(err, errLinkLost) {
		g.relayer.Log.Info().Str("request", g.request.ID).Str("target", first.Name).Err(err).Msg("no answer")
		return refuser.New(refuser.LinkLost, "no answer from %s: %s", first.Name, err)
	}
	if !errors.Is(err, context.Canceled) && !errors.Is(err, errMoved) && !errors.Is(err, errRequestLost) && !errors.Is(err, errQuarantined) {
		g.relayer.Targets.RecordAnswer(first.Name, false)
	}
	g.relayer.Log.Info().Str("request", g.request.ID).Str("target", first.Name).Err(err).Msg("no answer")
	return refuser.New(refuser.StreamLost, "no answer from %s: %s", first.Name, err)
}

// avoidAfter avoids the first target of a send that failed, unless only the link to it was lost.
func (g *generation) avoidAfter(ctx context.Context, first cataloger.Target) {
	if !errors.Is(context.Cause(ctx), errLinkLost) {
		g.avoidTarget(first.Name)
	}
}

// handleRefusal handles a target's proof that it did not run the request.
func (g *generation) handleRefusal(l *leg) *refuser.Refusal {
	r, first, reply := g.relayer, l.first, l.reply
	name := first.Name
	if at, ok := r.Targets.ByAddress(reply.Blamed); ok {
		name = at.Name
	}
	if reply.Misdirected {
		r.Targets.RecordStaleListing(name)
	} else {
		r.Targets.RecordRefusal(name)
	}
	r.Targets.RecordAnswer(name, name != first.Name)
	l.pacing.RecordTrouble(name)
	g.avoidTarget(name)
	r.Log.Info().Str("request", g.request.ID).Str("target", first.Name).Str("at", name).Int("status", reply.Status).Msg("refused by target")
	return refuser.New(refuser.TargetRefused, "%s refused with %d", name, reply.Status).WithRetryAfter(noPathRetry)
}

// handleFailure handles an answer that is not a success.
func (g *generation) handleFailure(reply *Reply) (sendResult, *refuser.Refusal) {
	g.blameFirstTarget()
	if reply.Status < http.StatusMultipleChoices || g.headWritten {
		return sendRetry, mayHaveRun("answer %d is not signed, or does not continue the stream", reply.Status)
	}
	buffered, err := bufferReply(reply)
	switch {
	case err != nil:
		return sendRetry, mayHaveRun("answer broke off: %s", err)
	case buffered.hasMore:
		return sendRetry, mayHaveRun("failure is over %d bytes", maxBufferedBytes)
	}
	if refusal := buffered.write(g.w); refusal != nil {
		return sendRetry, refusal
	}
	return sendDone, nil
}

// blameFirstTarget records that the first target itself failed the request.
func (g *generation) blameFirstTarget() {
	name := g.firstTarget()
	g.relayer.Targets.RecordAnswer(name, false)
	g.avoidTarget(name)
}

func (g *generation) firstTarget() string {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.path[0].Target
}

// relay forwards the events of an answer as they arrive.
func (g *generation) relay(ctx context.Context, first cataloger.Target, reply *Reply) (sendResult, *refuser.Refusal) {
	flusher := http.NewResponseController(g.w)
	buffer := make([]byte, readBuffer)
	for {
		n, err := reply.Body.Read(buffer)
		if !g.beginAccept() {
			return g.handleBrokenStream(ctx, first, context.Cause(ctx))
		}
		before, repeated := g.events.acceptedCount, g.events.repeatedCount
		out, intact := g.events.parse(buffer[:n])
		if g.events.repeatedCount > repeated {
			g.recordRepeat()
		}
		if len(out) > 0 {
			// In a stream whose events have ids, bytes without one are not progress: a stalled stream may still send
			// comments.
			if g.events.acceptedCount > before || g.events.acceptedCount == 0 {
				g.recordProgress(g.events.acceptedCount - before)
			}
			g.endAccept()
			g.writeHead(reply)
			if _, err := g.w.Write(out); err != nil {
				return sendDone, nil
			}
			if err := flusher.Flush(); err != nil {
				return sendDone, nil
			}
		}
		g.endAccept()
		switch {
		case !intact:
			return g.handleBrokenStream(ctx, first, errors.New("events are missing, or too long"))
		case errors.Is(err, io.EOF) && !g.events.inEvent() && (!reply.Unframed || g.hasStarted() || g.events.repeating):
			g.writeHead(reply)
			if !reply.Unframed {
				// A target that crashed may have ended the others; more than one event proves them harmless.
				g.relayer.Quarantiner.RecordContentAnswered(g.keys)
			}
			return sendDone, nil
		case err != nil:
			if ctx.Err() == nil {
				g.handleBrokenConnection(first, !g.hasStarted())
			}
			return g.handleBrokenStream(ctx, first, err)
		}
	}
}

// writeHead writes the head of the answer, unless an earlier send did. It waits for the first event, as a send that
// breaks earlier may end in a refusal, which must not carry the head of an answer.
func (g *generation) writeHead(reply *Reply) {
	if g.headWritten {
		return
	}
	g.headWritten = true
	name := mediaType(reply.Header)
	g.mu.Lock()
	g.mediaType = &name
	g.mu.Unlock()
	copyHeader(g.w, reply.Header)
	g.w.Header().Del("Content-Length")
	g.w.WriteHeader(reply.Status)
}

// handleBrokenConnection checks whether the first target has crashed, which counts against the request unless the target had
// answered it; begun is true if the head of an answer has arrived, and no event.
func (g *generation) handleBrokenConnection(first cataloger.Target, begun bool) {
	g.relayer.handleBrokenConnection(first, func(target uint32) bool { return g.recordCrash(target, begun) })
}

// recordCrash records the crash of the first target, and reports whether other daemons must be told without delay.
func (g *generation) recordCrash(target uint32, begun bool) (urgent bool) {
	g.mu.Lock()
	harmless := g.harmless
	g.mu.Unlock()
	if harmless {
		return g.relayer.Quarantiner.RecordCrash(nil, target, 0)
	}
	return g.relayer.Quarantiner.RecordContentCrash(g.keys, target, g.request.content(), begun)
}

// handleBrokenStream handles a stream that broke before its end.
func (g *generation) handleBrokenStream(ctx context.Context, first cataloger.Target, err error) (sendResult, *refuser.Refusal) {
	g.events.prepareResume()
	g.relayer.Log.Info().Str("request", g.request.ID).Str("target", first.Name).Str("last", g.events.last).Bool("begun", g.hasStarted()).
		Bool("crashed", g.relayer.hasCrashed(first)).Err(err).AnErr("cause", context.Cause(ctx)).Msg("stream broke")
	g.avoidAfter(ctx, first)
	return sendRetry, refuser.New(refuser.StreamLost, "stream broke after %q: %s", g.events.last, err)
}
