package refuser

import (
	"fmt"
	"time"

	"connectrpc.com/connect"
	"github.com/cockroachdb/errors"
	"google.golang.org/protobuf/types/known/durationpb"

	v1 "github.com/rattantray/rattantray/pkg/api/rattantray/v1"
)

// Refusal is an error that states why a request has no answer and whether it ran.
type Refusal struct {
	Code       Code
	Fact       Fact
	Message    string
	RetryAfter time.Duration
	// Digest is the SHA-256 of an answer that is not stored.
	Digest []byte
	cause  error
}

// New returns a refusal with the fact that the table gives for the code.
func New(code Code, format string, args ...any) *Refusal {
	return &Refusal{Code: code, Fact: byCode[code].Fact, Message: fmt.Sprintf(format, args...)}
}

// Error returns the code, the fact and the message.
func (r *Refusal) Error() string {
	s := fmt.Sprintf("%s (%d, %s)", r.Code, uint32(r.Code), r.Fact)
	if r.Message != "" {
		s += ": " + r.Message
	}
	return s
}

// Unwrap returns the cause.
func (r *Refusal) Unwrap() error { return r.cause }

// WithFact returns a copy that states another fact.
func (r *Refusal) WithFact(f Fact) *Refusal {
	c := *r
	c.Fact = f
	return &c
}

// WithRetryAfter returns a copy with the minimum time to wait before a retry.
func (r *Refusal) WithRetryAfter(d time.Duration) *Refusal {
	c := *r
	c.RetryAfter = d
	return &c
}

// WithDigest returns a copy with the SHA-256 of an answer that is not stored.
func (r *Refusal) WithDigest(digest []byte) *Refusal {
	c := *r
	c.Digest = digest
	return &c
}

// WithCause returns a copy that wraps err.
func (r *Refusal) WithCause(err error) *Refusal {
	c := *r
	c.cause = err
	return &c
}

// From returns the refusal in err's chain, or nil for a nil error. The refusal of a connect error is read from its detail; any other
// error becomes Internal.
func From(err error) *Refusal {
	if err == nil {
		return nil
	}
	var r *Refusal
	if errors.As(err, &r) {
		return r
	}
	var ce *connect.Error
	if errors.As(err, &ce) {
		if r := fromDetails(ce); r != nil {
			return r
		}
	}
	return New(Internal, "%s", err.Error()).WithCause(err)
}

func fromDetails(ce *connect.Error) *Refusal {
	for _, d := range ce.Details() {
		msg, err := d.Value()
		if err != nil {
			continue
		}
		if p, ok := msg.(*v1.Refusal); ok {
			return &Refusal{
				Code:       Code(p.Code),
				Fact:       Fact(p.Fact),
				Message:    p.Message,
				RetryAfter: p.RetryAfter.AsDuration(),
				Digest:     p.AnswerDigest,
				cause:      ce,
			}
		}
	}
	return nil
}

// Connect returns the refusal as a connect error with a rattantray.v1.Refusal detail.
func (r *Refusal) Connect() *connect.Error {
	entry := byCode[r.Code]
	code := entry.Connect
	if code == 0 {
		code = connect.CodeUnknown
	}
	ce := connect.NewError(code, r)
	detail, err := connect.NewErrorDetail(r.Proto())
	if err == nil {
		ce.AddDetail(detail)
	}
	return ce
}

// Proto returns the refusal as a protobuf message.
func (r *Refusal) Proto() *v1.Refusal {
	p := &v1.Refusal{
		Code:         uint32(r.Code),
		Name:         r.Code.String(),
		Fact:         v1.Fact(r.Fact),
		Message:      r.Message,
		AnswerDigest: r.Digest,
	}
	if r.RetryAfter > 0 {
		p.RetryAfter = durationpb.New(r.RetryAfter)
	}
	return p
}
