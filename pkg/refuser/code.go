package refuser

import "connectrpc.com/connect"

// Fact states whether a refused request ran, as far as the router can prove it.
type Fact uint8

// Facts, with the numbers of rattantray.v1.Fact.
const (
	FactUnspecified Fact = iota
	FactNotRun
	FactRan
	FactMayHaveRun
)

var factNames = map[Fact]string{
	FactUnspecified: "unspecified",
	FactNotRun:      "not-run",
	FactRan:         "ran",
	FactMayHaveRun:  "may-have-run",
}

// String returns the kebab-case name of the fact.
func (f Fact) String() string { return factNames[f] }

// Code is a numbered result code.
type Code uint32

// Result codes; 1xx bad input, 2xx admission, 3xx routing, 4xx execution, 5xx at most once, 6xx configuration, 7xx fleet.
const (
	OK                  Code = 0
	MalformedRequest    Code = 101
	PayloadTooLarge     Code = 102
	UnknownService      Code = 103
	UnknownWorkspace    Code = 104
	UnknownMethod       Code = 105
	ResumeTokenInvalid  Code = 106
	ResumeTokenStale    Code = 107
	RequestIDReused     Code = 108
	SequenceInvalid     Code = 109
	Unauthenticated     Code = 110
	BodyTimedOut        Code = 111
	RateLimited         Code = 201
	QueueFull           Code = 202
	DeadlineTooShort    Code = 203
	DeadlineExceeded    Code = 204
	ConcurrencyLimited  Code = 205
	RetryBudgetSpent    Code = 206
	MemoryShort         Code = 207
	NoPipeline          Code = 301
	NoTarget            Code = 302
	Draining            Code = 303
	NotReady            Code = 304
	Quarantined         Code = 305
	TargetsAtLimit      Code = 306
	TargetFailed        Code = 401
	TargetRefused       Code = 402
	AnswerInvalid       Code = 403
	StreamLost          Code = 404
	Canceled            Code = 405
	AttemptsExhausted   Code = 406
	LinkLost            Code = 407
	StoreUnavailable    Code = 501
	OutcomeUncertain    Code = 502
	AlreadyRan          Code = 503
	AlreadyRunning      Code = 504
	RequestIDExpired    Code = 505
	BoundElsewhere      Code = 506
	ShardMoved          Code = 507
	DocumentInvalid     Code = 601
	VersionConflict     Code = 602
	ApplyUncertain      Code = 603
	ServiceNotFound     Code = 604
	ModelNotFound       Code = 605
	PeerUnavailable     Code = 701
	LeaseLost           Code = 702
	PredecessorTimedOut Code = 801
	OrderingBufferFull  Code = 802
	Internal            Code = 901
)

// Entry describes a result code as docs/errors.md lists it.
type Entry struct {
	Code Code
	// Name is in kebab-case.
	Name    string
	Meaning string
	// Fact is the fact that a refusal with this code states by default.
	Fact Fact
	// RetrySafe is true if a caller may send the same request again.
	RetrySafe bool
	// Connect is the connect code that carries the refusal.
	Connect connect.Code
}

// Table lists every result code in the order of its number.
var Table = []Entry{
	{OK, "ok", "The request ran and the answer is complete.", FactRan, false, 0},
	{MalformedRequest, "malformed-request", "A field of the request is missing or malformed.", FactNotRun, false, connect.CodeInvalidArgument},
	{PayloadTooLarge, "payload-too-large", "The payload is larger than the service accepts.", FactNotRun, false, connect.CodeInvalidArgument},
	{UnknownService, "unknown-service", "No service of this name is in force.", FactNotRun, false, connect.CodeNotFound},
	{UnknownWorkspace, "unknown-workspace", "The service does not serve this workspace.", FactNotRun, false, connect.CodePermissionDenied},
	{UnknownMethod, "unknown-method", "The service document does not list this method.", FactNotRun, false, connect.CodeNotFound},
	{ResumeTokenInvalid, "resume-token-invalid", "The resume token is forged, damaged or of another request.", FactNotRun, false, connect.CodeInvalidArgument},
	{ResumeTokenStale, "resume-token-stale", "The resume token is older than its lifetime.", FactMayHaveRun, false, connect.CodeFailedPrecondition},
	{RequestIDReused, "request-id-reused", "The request id was used with another payload.", FactNotRun, false, connect.CodeAlreadyExists},
	{SequenceInvalid, "sequence-invalid", "The sequence number was used before under this ordering key.", FactNotRun, false, connect.CodeInvalidArgument},
	{Unauthenticated, "unauthenticated", "The caller or peer did not prove who it is.", FactNotRun, false, connect.CodeUnauthenticated},
	{BodyTimedOut, "body-timed-out", "The body of the request made no progress.", FactNotRun, true, connect.CodeDeadlineExceeded},
	{RateLimited, "rate-limited", "The workspace is over its rate.", FactNotRun, true, connect.CodeResourceExhausted},
	{QueueFull, "queue-full", "The queue of the workspace is full.", FactNotRun, true, connect.CodeResourceExhausted},
	{DeadlineTooShort, "deadline-too-short", "The request cannot be finished before its deadline.", FactNotRun, true, connect.CodeResourceExhausted},
	{DeadlineExceeded, "deadline-exceeded", "The deadline passed.", FactNotRun, false, connect.CodeDeadlineExceeded},
	{ConcurrencyLimited, "concurrency-limited", "The workspace has too many requests in progress.", FactNotRun, true, connect.CodeResourceExhausted},
	{RetryBudgetSpent, "retry-budget-spent", "An attempt failed and the retry budget is spent.", FactNotRun, true, connect.CodeUnavailable},
	{MemoryShort, "memory-short", "The entry has no memory left for the body of the request; use another entry.", FactNotRun, true, connect.CodeResourceExhausted},
	{NoPipeline, "no-pipeline", "No chain of targets covers the layers of the model.", FactNotRun, true, connect.CodeUnavailable},
	{NoTarget, "no-target", "No target serves the service.", FactNotRun, true, connect.CodeUnavailable},
	{Draining, "draining", "The entry is shutting down; use another entry.", FactNotRun, true, connect.CodeUnavailable},
	{NotReady, "not-ready", "The entry has no configuration yet; use another entry.", FactNotRun, true, connect.CodeUnavailable},
	{Quarantined, "quarantined", "Requests like this one have crashed their targets; for now none is sent.", FactNotRun, true, connect.CodeUnavailable},
	{TargetsAtLimit, "targets-at-limit", "All targets that could take the request get as many requests as they accept.", FactNotRun, true, connect.CodeUnavailable},
	{TargetFailed, "target-failed", "The target failed while the request ran.", FactMayHaveRun, false, connect.CodeUnavailable},
	{TargetRefused, "target-refused", "The target refused the request before it ran.", FactNotRun, true, connect.CodeUnavailable},
	{AnswerInvalid, "answer-invalid", "The answer failed the checks of its receipts and positions.", FactMayHaveRun, false, connect.CodeDataLoss},
	{StreamLost, "stream-lost", "The answer's stream broke and can be continued with the resume token.", FactMayHaveRun, false, connect.CodeUnavailable},
	{Canceled, "canceled", "The caller cancelled the request.", FactMayHaveRun, false, connect.CodeCanceled},
	{AttemptsExhausted, "attempts-exhausted", "Every attempt that the service allows failed.", FactMayHaveRun, false, connect.CodeUnavailable},
	{LinkLost, "link-lost", "The entry lost its connection to the target while the request ran; other entries reach it.", FactMayHaveRun, false, connect.CodeUnavailable},
	{StoreUnavailable, "store-unavailable", "The store is down and a claim cannot be recorded.", FactNotRun, true, connect.CodeUnavailable},
	{OutcomeUncertain, "outcome-uncertain", "The request was claimed and its outcome is not known.", FactMayHaveRun, false, connect.CodeAborted},
	{AlreadyRan, "already-ran", "The request ran earlier and its answer is not kept.", FactRan, false, connect.CodeAlreadyExists},
	{AlreadyRunning, "already-running", "The same request is in progress.", FactMayHaveRun, false, connect.CodeAborted},
	{RequestIDExpired, "request-id-expired", "The request id is older than the retention of the journal.", FactMayHaveRun, false, connect.CodeFailedPrecondition},
	{BoundElsewhere, "bound-elsewhere", "The daemon that the request is bound to is gone.", FactMayHaveRun, false, connect.CodeFailedPrecondition},
	{ShardMoved, "shard-moved", "The journal shard is moving to another owner.", FactNotRun, true, connect.CodeUnavailable},
	{DocumentInvalid, "document-invalid", "The service document has errors.", FactNotRun, false, connect.CodeInvalidArgument},
	{VersionConflict, "version-conflict", "The stored version is not the expected one.", FactNotRun, false, connect.CodeAborted},
	{ApplyUncertain, "apply-uncertain", "The store gave no answer; the document may be stored.", FactMayHaveRun, true, connect.CodeUnavailable},
	{ServiceNotFound, "service-not-found", "No service document of this name is stored.", FactNotRun, false, connect.CodeNotFound},
	{ModelNotFound, "model-not-found", "No service in force runs a model of this name.", FactNotRun, false, connect.CodeNotFound},
	{PeerUnavailable, "peer-unavailable", "Another daemon could not be reached.", FactNotRun, true, connect.CodeUnavailable},
	{LeaseLost, "lease-lost", "The lease of the duty is held by another daemon.", FactNotRun, true, connect.CodeAborted},
	{PredecessorTimedOut, "predecessor-timed-out", "A predecessor under the ordering key did not come in time.", FactNotRun, true, connect.CodeAborted},
	{OrderingBufferFull, "ordering-buffer-full", "Too many answers are held back under the ordering key.", FactNotRun, true, connect.CodeResourceExhausted},
	{Internal, "internal", "A fault of the router itself.", FactMayHaveRun, false, connect.CodeInternal},
}

var byCode = func() map[Code]Entry {
	m := make(map[Code]Entry, len(Table))
	for _, e := range Table {
		m[e.Code] = e
	}
	return m
}()

// Lookup returns the entry of a code; false if there is none.
func Lookup(c Code) (Entry, bool) {
	e, ok := byCode[c]
	return e, ok
}

// String returns the kebab-case name of the code.
func (c Code) String() string { return byCode[c].Name }
