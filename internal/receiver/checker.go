package receiver

import (
	"time"
	"unicode/utf8"

	"github.com/rattantray/rattantray/internal/documenter"
	v1 "github.com/rattantray/rattantray/pkg/api/rattantray/v1"
	"github.com/rattantray/rattantray/pkg/refuser"
)

const (
	maxNameBytes = 200
	maxPriority  = 9
	// maxDeliveredParts is the maximum number of parts that a client may send back with a resume token.
	maxDeliveredParts = 1 << 20
	// maxHandOvers keeps the attempt numbers of the last hand-over within 32 bits.
	maxHandOvers = 1 << 20
)

// checkShape makes the checks that do not need the service document.
func checkShape(req *v1.Request) error {
	switch {
	case req == nil:
		return malformed("request is missing")
	case !isValidName(req.Workspace):
		return malformed("workspace is empty, too long or not printable")
	case !isValidName(req.Service):
		return malformed("service is empty, too long or not printable")
	case !isValidName(req.RequestId):
		return malformed("request-id is empty, too long or not printable")
	case len(req.OrderingKey) > maxNameBytes:
		return malformed("ordering-key is over %d bytes", maxNameBytes)
	case (req.OrderingKey == "") != (req.Sequence == 0):
		return malformed("ordering-key and sequence go together, and sequences count from 1")
	case req.Priority > maxPriority:
		return malformed("priority %d is over %d", req.Priority, maxPriority)
	case req.Timeout != nil && req.Timeout.AsDuration() <= 0:
		return malformed("timeout is not above 0")
	case len(req.ResumeToken) == 0 && len(req.Delivered) > 0:
		return malformed("delivered parts come without a resume token")
	case len(req.Delivered) > maxDeliveredParts:
		return malformed("more than %d delivered parts", maxDeliveredParts)
	case len(req.ResumeToken) == 0 && req.HandOvers > 0:
		return malformed("hand-overs come without a resume token")
	case req.HandOvers > maxHandOvers:
		return malformed("more than %d hand-overs", maxHandOvers)
	}
	return nil
}

// checkService checks the request against its service document.
func checkService(req *v1.Request, doc *documenter.Document) error {
	if limit := doc.Limits.PayloadBytes; limit > 0 && len(req.Payload) > limit {
		return refuser.New(refuser.PayloadTooLarge, "the payload has %d bytes, at most %d are accepted", len(req.Payload), limit)
	}
	if limit := doc.Limits.MaxTokens; limit > 0 && req.MaxTokens > limit {
		return malformed("max-tokens %d is over the limit of %d", req.MaxTokens, limit)
	}
	if doc.Type == documenter.TypePlain {
		if _, ok := doc.Method(req.Method); !ok {
			return refuser.New(refuser.UnknownMethod, "service %q has no method %q", doc.Name, req.Method)
		}
		return nil
	}
	if req.Method != "" {
		return malformed("a model service has no methods")
	}
	if len(req.Payload) == 0 {
		return malformed("the prompt is empty")
	}
	return nil
}

// deadlineOf returns now plus the timeout of the request, or else of the service, within the maximum of the service.
func deadlineOf(req *v1.Request, limits documenter.Limits, now time.Time) time.Time {
	timeout := time.Duration(limits.Deadline)
	if req.Timeout != nil {
		timeout = req.Timeout.AsDuration()
	}
	if limit := time.Duration(limits.MaxDeadline); limit > 0 && timeout > limit {
		timeout = limit
	}
	if timeout <= 0 {
		timeout = defaultTimeout
	}
	return now.Add(timeout)
}

const defaultTimeout = time.Minute

// isValidName reports whether s is valid UTF-8 of 1 to maxNameBytes bytes without control characters.
func isValidName(s string) bool {
	if s == "" || len(s) > maxNameBytes || !utf8.ValidString(s) {
		return false
	}
	for _, c := range s {
		if c < ' ' || c == 0x7f {
			return false
		}
	}
	return true
}

func malformed(format string, args ...any) error {
	return refuser.New(refuser.MalformedRequest, format, args...)
}
