package relayer

import (
	"context"
	"io"
	"net/http"
	"time"

	"github.com/rattantray/rattantray/internal/cataloger"
	"github.com/rattantray/rattantray/internal/chooser"
	"github.com/rattantray/rattantray/internal/matcher"
	"github.com/rattantray/rattantray/internal/quarantiner"
	"github.com/rattantray/rattantray/internal/throttler"
)

// Request is a request of a client that the configuration allows.
type Request struct {
	ID     string
	Method string
	// URI is the path and query as the client sent them.
	URI  string
	Host string
	// Header holds the fields that are forwarded to targets.
	Header    http.Header
	Body      []byte
	Workspace cataloger.Workspace
	Route     *matcher.Route
	Service   *matcher.Service
	// Priority is 0 for the most urgent requests.
	Priority int
	// SharesLoads means that the daemons share their loads of the service's targets.
	SharesLoads bool
	// Precedence is the claim of a generation on scarce memory; all but its rank, and whether ranks compete, is computed here.
	Precedence chooser.Precedence
	// ConfigVersion is that of the configuration that allowed the request.
	ConfigVersion uint64
	Arrived       time.Time
	// Deadline is the client's or the route's, whichever is sooner.
	Deadline time.Time
	// PromptTokens, MaxTokens and HintTokens are the tokens that a generation reads, may write and is expected to write;
	// 0 means unknown.
	PromptTokens float64
	MaxTokens    float64
	HintTokens   float64
	// Model is the model that a generation names; it may be empty.
	Model string
	// PromptParts are the IDs of the parts of a generation's prompt, in order. Requests share parts, except for the last one.
	PromptParts []string
	// ResumeAfter is the id of the last event that the client has; empty for a new stream.
	ResumeAfter string
}

// demand returns what a generation requires of its pipeline.
func (r *Request) demand() chooser.Demand {
	e := r.Service.Engine
	read, tokens := chooser.EstimateTokens(e, r.PromptTokens, r.MaxTokens, r.HintTokens)
	if r.SharesLoads {
		tokens = chooser.MeanTokens(read, tokens)
	}
	if r.ResumeAfter != "" {
		read = tokens
	}
	return chooser.Demand{
		Service: r.Service.Name, Engine: e, Tokens: tokens, PrefillTokens: read, Precedence: r.Precedence,
		SharesLoads: r.SharesLoads, GapObjective: r.Route.GapObjective,
	}
}

// keys returns what may crash the targets of a generation: all parts of its prompt but the last, which no other request has, and
// the request as a whole.
func (r *Request) keys() []quarantiner.Key {
	if r.Service.Engine == nil {
		return nil
	}
	var keys []quarantiner.Key
	for _, part := range r.PromptParts[:max(len(r.PromptParts)-1, 0)] {
		keys = append(keys, quarantiner.PartKey(r.Model, part))
	}
	return append(keys, r.contentKey())
}

// contentKey returns the key of the request as a whole, which its repeats have as well.
func (r *Request) contentKey() quarantiner.Key {
	return quarantiner.ContentKey(string(r.Workspace), r.Host, r.Method, r.URI, r.Model, r.PromptParts, r.Body)
}

// content identifies what a client asks for in a crash: the part of the prompt that no other request has, as clients that come
// back after a failure use a new ID.
func (r *Request) content() uint32 {
	if n := len(r.PromptParts); n > 0 {
		return quarantiner.RequestID(r.PromptParts[n-1])
	}
	return uint32(r.contentKey())
}

// Call is one send of a request to a target.
type Call struct {
	Request *Request
	// Content is the key of the request as a whole.
	Content quarantiner.Key
	Target  cataloger.Target
	// Path names the stages of a pipeline, the target's first; empty if the target serves alone.
	Path []cataloger.Stage
	// Remaining is the time that the target may take.
	Remaining time.Duration
	// ResumeAfter is the id of the last event that was delivered.
	ResumeAfter string
	// Repeated means that the request was sent to this target before, so that copies of an earlier answer to it may still arrive.
	Repeated bool
}

// Body is the body of an answer; reading it to io.EOF without another error proves that it is complete.
type Body = io.ReadCloser

// Notice is what a target announces about itself beside any answer.
type Notice struct {
	// Leaving means that the target accepts no new requests.
	Leaving bool
	// Pause is how long the target wants no requests from this daemon; 0 means no pause.
	Pause time.Duration
	// Limit is the rate of requests that the target accepts from all daemons together.
	Limit throttler.Limit
	// InvalidLimit means that the target named a limit that could not be parsed, so that Limit says nothing.
	InvalidLimit bool
}

// Reply is a target's answer.
type Reply struct {
	Status int
	// Header holds the fields that are forwarded to the client.
	Header http.Header
	Body   Body
	// NotRun is the target's proof that it did not run the request.
	NotRun bool
	// Misdirected means that the target is not the expected one, or does not hold what the path requires of it.
	Misdirected bool
	// Blamed is the address of the stage at fault, if the target names one.
	Blamed string
	// Signed means that the answer carries the target's signature.
	Signed bool
	// Encoded means that the body was encoded on the way and is not the target's own.
	Encoded bool
	// Unframed means that the body ends with its connection.
	Unframed bool
}

// IsSignedSuccess reports whether the answer may be forwarded as a success.
func (r *Reply) IsSignedSuccess() bool {
	return r.Status >= http.StatusOK && r.Status < http.StatusMultipleChoices && r.Signed && !r.Encoded
}

// RepathResult is the result of an order to replace stages of a request in progress.
type RepathResult int

// Results of a replacement.
const (
	// RepathDone means that the request continues over the new path.
	RepathDone RepathResult = iota + 1
	// RepathUnknown means that the order was not answered and may still be carried out.
	RepathUnknown
	// RepathEnded means that the target no longer has such a request.
	RepathEnded
	// RepathRefused means that a stage of the new path is missing or has no capacity.
	RepathRefused
)

var repathNames = map[RepathResult]string{
	RepathDone: "done", RepathUnknown: "unknown", RepathEnded: "ended", RepathRefused: "refused",
}

// String returns the kebab-case name of the result.
func (r RepathResult) String() string { return repathNames[r] }

// StalledRequest is a request that waits for a stage which does not answer.
type StalledRequest struct {
	RequestID string
	// Address is the address of the silent stage.
	Address string
}

// Report is the state that a target reports about itself.
type Report struct {
	// Orders is how many placements the target has accepted since its start.
	Orders uint64
	// Pace is over 1 while the target is slow; 0 if it is not reported.
	Pace float64
	// Stalled are requests that the target received first.
	Stalled []StalledRequest
}

// Backend sends to the targets.
type Backend struct {
	// Send sends a call and returns the head of its answer. An error that is exchanger.ErrNotSent proves that nothing was sent.
	Send func(ctx context.Context, call Call) (*Reply, error)
	// Repath asks the first stage of a request in progress to continue over another path with the same first stage;
	// address names the stage that refused.
	Repath func(ctx context.Context, first cataloger.Target, requestID string, path []cataloger.Stage) (result RepathResult, address string, err error)
	// Refuses reports whether the address of a target refuses connections, as no process listens there.
	Refuses func(ctx context.Context, target cataloger.Target) bool
	// Report asks a target for its state.
	Report func(ctx context.Context, target cataloger.Target) (Report, error)
}
