package receiver

import (
	"context"
	"net"
	"net/http"
	"time"

	"connectrpc.com/connect"
	"github.com/rs/zerolog"
	"google.golang.org/protobuf/types/known/durationpb"

	"github.com/rattantray/rattantray/internal/admitter"
	"github.com/rattantray/rattantray/internal/cataloger"
	"github.com/rattantray/rattantray/internal/documenter"
	"github.com/rattantray/rattantray/internal/forwarder"
	"github.com/rattantray/rattantray/internal/journaler"
	"github.com/rattantray/rattantray/internal/meter"
	"github.com/rattantray/rattantray/internal/resolver"
	"github.com/rattantray/rattantray/internal/sequencer"
	"github.com/rattantray/rattantray/internal/timer"
	"github.com/rattantray/rattantray/internal/tokener"
	v1 "github.com/rattantray/rattantray/pkg/api/rattantray/v1"
	"github.com/rattantray/rattantray/pkg/refuser"
)

// Receiver serves rattantray.v1.RouterService; the fields are set before it serves.
type Receiver struct {
	Log   zerolog.Logger
	Clock timer.Clock
	// Self and Incarnation identify this member in resume tokens.
	Self        string
	Incarnation uint64
	Tokens      *tokener.Tokener
	Meter       *meter.Meter

	// BeginRequest counts a new request as in progress until end is called; it returns a refusal while the daemon is not ready
	// or is draining.
	BeginRequest func() (end func(), err error)
	// Lookup returns the document of a service in force.
	Lookup func(service string) (*documenter.Document, uint64, bool)
	// Authorize checks whether the client may use a workspace.
	Authorize func(header http.Header, doc *documenter.Document, workspace documenter.Workspace) error
	// AuthorizeOutcome checks whether the client may read outcomes of a workspace.
	AuthorizeOutcome func(header http.Header, workspace string) error
	// Entries returns the entry addresses for a client and how long they are valid.
	Entries func(q resolver.Query) ([]*v1.Entry, time.Duration, error)
	// Admit waits until the request may run.
	Admit func(ctx context.Context, r admitter.Request) (*admitter.Grant, error)
	// ExpectedDuration estimates how long a generation takes; zero if there is no estimate.
	ExpectedDuration func(service string, promptTokens, maxTokens int) time.Duration
	// ObserveGeneration records the timing of a generation, from its grant; nil if no estimates are made.
	ObserveGeneration func(service string, g GenerationStats)
	// Generate runs a model request and emits its tokens.
	Generate func(ctx context.Context, g Generation, emit func(Token) error) error
	// Forward runs a request on a plain service.
	Forward func(ctx context.Context, doc *documenter.Document, r forwarder.Request) (forwarder.Answer, error)
	// RunOnce runs a request at most once and returns its outcome, which may be that of an earlier run.
	RunOnce func(ctx context.Context, r journaler.Request, run journaler.RunFunc) (journaler.Outcome, error)
	// Outcome returns the stored outcome of an at-most-once request.
	Outcome func(ctx context.Context, workspace cataloger.Workspace, id string) (journaler.Outcome, error)
	// Enter takes a place under an ordering key.
	Enter func(ctx context.Context, p sequencer.Place) (sequencer.Turn, error)
}

// Generation is a model request that is ready to run.
type Generation struct {
	Workspace cataloger.Workspace
	Service   string
	// Execution identifies the run to the engines; it is unique for each request that is sent.
	Execution    string
	Model        documenter.Model
	Prompt       []byte
	MaxTokens    uint32
	Priority     uint32
	Deadline     time.Time
	FirstAttempt uint32
	// EndAttempt is the first attempt number past those of this stream.
	EndAttempt uint32
	// Version is the model version that began the answer; empty for a new answer.
	Version string
	// Delivered are the tokens that the client already has.
	Delivered [][]byte
	Retry     documenter.Retry
	// Flush must be called before a wait that follows emitted tokens; until then the receiver may buffer them.
	Flush func()
	// Held is the stream of this execution that engines may still hold; its route is empty for a new answer.
	Held HeldStream
}

// HeldStream is the interrupted stream of an answer.
type HeldStream struct {
	Attempt uint32
	Route   []tokener.Stage
}

// Token is one checked token of an answer.
type Token struct {
	Attempt  uint32
	Position uint64
	Data     []byte
	Last     bool
	Receipt  *v1.Receipt
	// Route is the chain that runs the attempt; it is set on the first token of each attempt.
	Route []tokener.Stage
}

// Resolve implements rattantray.v1.RouterService.
func (r *Receiver) Resolve(_ context.Context, req *connect.Request[v1.ResolveRequest]) (*connect.Response[v1.ResolveResponse], error) {
	msg := req.Msg
	doc, workspace, err := r.findService(msg.Workspace, msg.Service)
	if err != nil {
		return nil, refuser.From(err).Connect()
	}
	if err := r.Authorize(req.Header(), doc, workspace); err != nil {
		return nil, refuser.From(err).Connect()
	}
	entries, ttl, err := r.Entries(resolver.Query{
		DataCentre: cataloger.DataCentre(msg.DataCentre),
		Workspace:  cataloger.Workspace(msg.Workspace),
		Service:    msg.Service,
		Caller:     hostOf(req.Peer().Addr),
	})
	if err != nil {
		return nil, refuser.From(err).Connect()
	}
	return connect.NewResponse(&v1.ResolveResponse{Entries: entries, TimeToLive: durationpb.New(ttl)}), nil
}

// Send implements rattantray.v1.RouterService.
func (r *Receiver) Send(ctx context.Context, req *connect.Request[v1.SendRequest], stream *connect.ServerStream[v1.SendResponse]) error {
	// What is unflushed when the exchange ends is sent with the end of the stream.
	defer batcherOf(ctx).holdFlushes()
	return r.serve(ctx, req.Msg.GetRequest(), req.Header(), stream.Send)
}

// Call implements rattantray.v1.RouterService.
func (r *Receiver) Call(ctx context.Context, req *connect.Request[v1.CallRequest]) (*connect.Response[v1.CallResponse], error) {
	out := &v1.CallResponse{RequestId: req.Msg.GetRequest().GetRequestId()}
	x, err := r.runExchange(ctx, req.Msg.GetRequest(), req.Header(), func(p *v1.SendResponse) error {
		out.Data = append(out.Data, p.Data...)
		out.Attempt = p.Attempt
		out.HttpStatus = p.HttpStatus
		out.Parts++
		return nil
	})
	if err != nil {
		return nil, err
	}
	out.Replayed = x.replayed
	return connect.NewResponse(out), nil
}

// Get implements rattantray.v1.RouterService.
func (r *Receiver) Get(ctx context.Context, req *connect.Request[v1.GetRequest]) (*connect.Response[v1.GetResponse], error) {
	msg := req.Msg
	if msg.Workspace == "" || msg.RequestId == "" {
		return nil, refuser.New(refuser.MalformedRequest, "workspace and request-id are needed").Connect()
	}
	if err := r.AuthorizeOutcome(req.Header(), msg.Workspace); err != nil {
		return nil, refuser.From(err).Connect()
	}
	out, err := r.Outcome(ctx, cataloger.Workspace(msg.Workspace), msg.RequestId)
	if err != nil {
		return nil, refuser.From(err).Connect()
	}
	return connect.NewResponse(toGetResponse(msg.RequestId, out)), nil
}

// hostOf returns the host of a remote address, which distinguishes the clients of one workspace.
func hostOf(address string) string {
	host, _, err := net.SplitHostPort(address)
	if err != nil {
		return address
	}
	return host
}

func toGetResponse(id string, out journaler.Outcome) *v1.GetResponse {
	resp := &v1.GetResponse{RequestId: id, Outcome: outcomeOf(out)}
	if resp.Outcome != v1.Outcome_OUTCOME_RAN {
		return resp
	}
	resp.HttpStatus = uint32(out.Answer.Status)
	resp.AnswerDigest = out.Digest[:]
	if out.Kept {
		resp.Data = out.Answer.Body
	}
	return resp
}

func outcomeOf(out journaler.Outcome) v1.Outcome {
	switch {
	case out.Running:
		return v1.Outcome_OUTCOME_RUNNING
	case out.Fact == refuser.FactRan:
		return v1.Outcome_OUTCOME_RAN
	case out.Fact == refuser.FactNotRun:
		return v1.Outcome_OUTCOME_NOT_RUN
	case out.Fact == refuser.FactMayHaveRun:
		return v1.Outcome_OUTCOME_MAY_HAVE_RUN
	default:
		return v1.Outcome_OUTCOME_UNKNOWN_ID
	}
}

func (r *Receiver) serve(ctx context.Context, req *v1.Request, header http.Header, emit func(*v1.SendResponse) error) error {
	_, err := r.runExchange(ctx, req, header, emit)
	return err
}

// runExchange runs one request and returns a connect error if it is refused.
func (r *Receiver) runExchange(ctx context.Context, req *v1.Request, header http.Header, emit func(*v1.SendResponse) error) (*exchange, error) {
	x := &exchange{receiver: r, req: req, receivedAt: r.Clock.Now(), emitPart: emit, queueWait: unset, timeToFirstPart: unset}
	err := x.correctFact(x.run(ctx, header))
	x.record(err)
	if err != nil {
		return nil, refuser.From(err).Connect()
	}
	return x, nil
}

func (r *Receiver) findService(workspace, service string) (*documenter.Document, documenter.Workspace, error) {
	doc, _, ok := r.Lookup(service)
	if !ok {
		return nil, documenter.Workspace{}, refuser.New(refuser.UnknownService, "no service %q is in force", service)
	}
	w, ok := doc.Workspace(workspace)
	if !ok {
		return nil, documenter.Workspace{}, refuser.New(refuser.UnknownWorkspace, "service %q does not serve workspace %q", service, workspace)
	}
	return doc, w, nil
}
