package receiver

import (
	"context"
	"crypto/sha256"
	"encoding/binary"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/google/uuid"

	"github.com/rattantray/rattantray/internal/admitter"
	"github.com/rattantray/rattantray/internal/cataloger"
	"github.com/rattantray/rattantray/internal/documenter"
	"github.com/rattantray/rattantray/internal/engineer"
	"github.com/rattantray/rattantray/internal/meter"
	"github.com/rattantray/rattantray/internal/tokener"
	v1 "github.com/rattantray/rattantray/pkg/api/rattantray/v1"
	"github.com/rattantray/rattantray/pkg/refuser"
)

const (
	unset = -1 * time.Nanosecond
	// attemptStride is how many attempt numbers are reserved for each stream of a request.
	attemptStride = 1 << 10
)

// exchange is the state of one request in the receiver.
type exchange struct {
	receiver   *Receiver
	req        *v1.Request
	doc        *documenter.Document
	method     documenter.Method
	receivedAt time.Time
	deadline   time.Time
	digest     [sha256.Size]byte
	emitPart   func(*v1.SendResponse) error

	execution    string
	version      string
	firstAttempt uint32
	heldStream   HeldStream
	position     uint64
	attempt      uint32
	// mayHaveRun is set once the request may have reached a target.
	mayHaveRun bool
	// journalDecided is set once the journal has decided, as its not-run is proven.
	journalDecided  bool
	replayed        bool
	queueWait       time.Duration
	timeToFirstPart time.Duration
	lastPartAt      time.Time
	// generationStart is the time from which the generation ran.
	generationStart time.Time
	partCount       int64
}

func (x *exchange) run(ctx context.Context, header http.Header) error {
	r := x.receiver
	if err := checkShape(x.req); err != nil {
		return err
	}
	end, err := r.BeginRequest()
	if err != nil {
		return err
	}
	defer end()
	if err := x.prepare(header); err != nil {
		return err
	}
	ctx, cancel := context.WithDeadlineCause(ctx, x.deadline, errDeadline)
	defer cancel()
	if x.req.OrderingKey != "" {
		return x.finalError(ctx, x.runOrdered(ctx))
	}
	return x.finalError(ctx, x.runAdmitted(ctx))
}

var errDeadline = errors.New("deadline exceeded")

// prepare looks up the service and validates the request against its document.
func (x *exchange) prepare(header http.Header) error {
	r := x.receiver
	doc, workspace, err := r.findService(x.req.Workspace, x.req.Service)
	if err != nil {
		return err
	}
	if err := r.Authorize(header, doc, workspace); err != nil {
		return err
	}
	if err := checkService(x.req, doc); err != nil {
		return err
	}
	x.doc = doc
	x.method, _ = doc.Method(x.req.Method)
	x.deadline = deadlineOf(x.req, doc.Limits, x.receivedAt)
	if t := time.Duration(x.method.Timeout); t > 0 && x.receivedAt.Add(t).Before(x.deadline) {
		x.deadline = x.receivedAt.Add(t)
	}
	x.digest = payloadDigest(x.req)
	return x.applyResumeToken()
}

// applyResumeToken continues from where an earlier stream of the answer was interrupted.
func (x *exchange) applyResumeToken() error {
	x.execution = x.req.RequestId + "~" + uuid.NewString()
	x.firstAttempt = 1
	if len(x.req.ResumeToken) == 0 {
		return nil
	}
	claims, err := x.receiver.Tokens.Check(x.req.ResumeToken, tokener.Claims{
		Workspace:     x.req.Workspace,
		Service:       x.req.Service,
		RequestID:     x.req.RequestId,
		PayloadDigest: x.digest,
	})
	if err != nil {
		return err
	}
	x.execution = claims.Execution
	x.version = claims.Version
	x.heldStream = HeldStream{Attempt: claims.Attempt, Route: claims.Route}
	x.firstAttempt = max(claims.Attempt/attemptStride+1, x.req.HandOvers) * attemptStride
	x.position = uint64(len(x.req.Delivered))
	return nil
}

// idempotent reports whether the request may run more than once; the client may only forbid what the service allows.
func (x *exchange) idempotent() bool {
	if x.req.Idempotent != nil && !*x.req.Idempotent {
		return false
	}
	return x.doc.Type == documenter.TypeModel || x.method.Idempotent
}

// runAdmitted waits for admission and runs the request.
func (x *exchange) runAdmitted(ctx context.Context) error {
	r := x.receiver
	cost, expected := x.estimateCost()
	waitStart := r.Clock.Now()
	grant, err := r.Admit(ctx, admitter.Request{
		Service:   x.doc.Name,
		Workspace: cataloger.Workspace(x.req.Workspace),
		Cost:      cost,
		Priority:  x.req.Priority,
		Deadline:  x.deadline,
		Expected:  expected,
	})
	x.queueWait = r.Clock.Now().Sub(waitStart)
	if err != nil {
		return err
	}
	err = x.execute(ctx)
	grant.Done(x.admissionResult(err))
	return err
}

func (x *exchange) execute(ctx context.Context) error {
	switch {
	case !x.idempotent():
		return x.runOnce(ctx)
	case x.doc.Type == documenter.TypeModel:
		return x.generate(ctx, x.emitToken)
	default:
		return x.forward(ctx)
	}
}

// estimateCost returns the estimated number of tokens and the duration of the request.
func (x *exchange) estimateCost() (float64, time.Duration) {
	if x.doc.Type != documenter.TypeModel {
		return 1, 0
	}
	prompt := engineer.PromptTokens(len(x.req.Payload))
	maxTokens := x.remainingTokens()
	return float64(prompt + maxTokens), x.receiver.ExpectedDuration(x.doc.Name, prompt, maxTokens)
}

// remainingTokens returns the maximum number of tokens that are still to be delivered.
func (x *exchange) remainingTokens() int { return max(1, int(x.maxTokens())-len(x.req.Delivered)) }

func (x *exchange) maxTokens() uint32 {
	if x.req.MaxTokens > 0 {
		return x.req.MaxTokens
	}
	if x.doc.Limits.MaxTokens > 0 {
		return x.doc.Limits.MaxTokens
	}
	return defaultMaxTokens
}

const defaultMaxTokens = 256

func (x *exchange) admissionResult(err error) admitter.Result {
	res := admitter.Result{OK: err == nil}
	if x.doc.Type == documenter.TypeModel && err == nil {
		res.Tokens = float64(engineer.PromptTokens(len(x.req.Payload))) + float64(x.partCount)
	}
	if err != nil {
		switch refuser.From(err).Code {
		case refuser.TargetRefused, refuser.NoPipeline, refuser.NoTarget:
			res.Overloaded = true
		}
	}
	return res
}

// record writes the request to the metrics and the log.
func (x *exchange) record(err error) {
	r := x.receiver
	now := r.Clock.Now()
	code := refuser.OK
	if err != nil {
		code = refuser.From(err).Code
	}
	observation := meter.Request{Code: code, Total: now.Sub(x.receivedAt), FirstToken: x.timeToFirstPart, QueueWait: x.queueWait, Tokens: x.partCount}
	if x.doc != nil {
		observation.Workspace = x.req.Workspace
		observation.Service = x.req.Service
	} else {
		// Names that are in no document must not create metric series.
		observation.Workspace = meter.OtherWorkspace
		observation.Service = meter.OtherWorkspace
	}
	r.Meter.Observe(observation)
	event := r.Log.Debug()
	if err != nil {
		event = r.Log.Info().Err(err).Stringer("fact", refuser.From(err).Fact)
	}
	event.Str("request-id", x.req.GetRequestId()).
		Str("workspace", x.req.GetWorkspace()).
		Str("service", x.req.GetService()).
		Uint32("attempt", x.attempt).
		Int64("parts", x.partCount).
		Dur("total", now.Sub(x.receivedAt)).
		Stringer("code", code).
		Msg("request ended")
}

func payloadDigest(req *v1.Request) [sha256.Size]byte {
	h := sha256.New()
	for _, field := range [][]byte{[]byte(req.Service), []byte(req.Method), req.Payload} {
		var size [8]byte
		binary.BigEndian.PutUint64(size[:], uint64(len(field)))
		h.Write(size[:])
		h.Write(field)
	}
	return [sha256.Size]byte(h.Sum(nil))
}
