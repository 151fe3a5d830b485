package relayer

import (
	"context"
	"flag"
	"io"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

func init() { _ = flag.Set("rapid.seed", "20261205") }

const (
	errorHead = "HTTP/1.1 503 Service Unavailable\r\nContent-Type: text/plain\r\nContent-Length: 12\r\n\r\noverloaded\r\n\r\n"
	errorPage = "<html><body>\n<h1>502 Bad Gateway</h1>\n\n</body></html>\n\n"
	errorJSON = "{\"error\": {\"message\": \"overloaded\"}}\n\n"
)

// errorAnswers are answers that do not continue a stream after its second event, with the events that they deliver before that shows.
var errorAnswers = []struct {
	name   string
	answer script
	events string
}{
	{"status 400", script{status: 400, body: errorJSON}, ""},
	{"status 429 without proof", script{status: 429, body: "later\n\n"}, ""},
	{"status 500", script{status: 500, body: errorPage}, ""},
	{"status 500 with events", script{status: 500, body: eventRange(3, 4)}, ""},
	{"status 503 refused", script{status: 503, body: errorHead, notRun: true}, ""},
	{"status 302", script{status: 302, body: "moved\n\n"}, ""},
	{"unsigned 200", script{status: 200, unsigned: true, body: eventRange(3, 4)}, ""},
	{"200 of another type", script{status: 200, mediaType: "application/json", body: errorJSON}, ""},
	{"200 of another type with events", script{status: 200, mediaType: "text/plain", body: eventRange(3, 4)}, ""},
	{"200 with an error page", script{status: 200, body: errorPage}, ""},
	{"200 with a JSON error", script{status: 200, body: errorJSON}, ""},
	{"200 with a text error", script{status: 200, body: "upstream: overloaded\nTry again\n\n"}, ""},
	{"200 with an error event", script{status: 200, body: "event: error\ndata: overloaded\n\n"}, ""},
	{"200 with an error event without data", script{status: 200, body: "error: overloaded\n\n"}, ""},
	{"200 with a head at once", script{status: 200, body: errorHead}, ""},
	{"200 with a head between events", script{status: 200, body: eventRange(3, 3) + errorHead + eventRange(4, 4)}, eventRange(3, 3)},
	{"200 with a head in an event", script{status: 200, body: eventRange(3, 3) + "id: 4\n" + errorHead}, eventRange(3, 3)},
	{"200 with a head in a line", script{status: 200, body: eventRange(3, 3) + "id: 4\ndata: pie" + errorHead}, eventRange(3, 3)},
	{"200 with a head at the end", script{status: 200, body: eventRange(3, 3) + strings.TrimSpace(errorHead)}, eventRange(3, 3)},
	{"200 without a frame", script{status: 200, unframed: true}, ""},
	{"200 without a frame, with a head", script{status: 200, unframed: true, body: errorHead}, ""},
	{"200 that breaks off in an event", script{status: 200, body: "id: 3\ndata: pi"}, ""},
}

// TestErrorsAfterAStreamHasBegun guards against bytes of another target's error in a stream that broke off, and against its end as if
// it were complete.
func TestErrorsAfterAStreamHasBegun(t *testing.T) {
	for _, c := range errorAnswers {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				const sse = "text/event-stream; charset=utf-8"
				answer := c.answer
				if answer.mediaType == "" && answer.status < http.StatusMultipleChoices {
					answer.mediaType = "text/event-stream"
				}
				f := &fakeBackend{scripts: []script{{status: 200, mediaType: sse, body: eventRange(1, 2) + "id: 3\nda", err: errCut}, answer}}
				w, _, aborted := serve(newTestRelayer(f), stream(true))
				require.Equal(t, eventRange(1, 2)+c.events, w.Body.String())
				require.True(t, aborted, "the stream must not look complete")
				require.Equal(t, http.StatusOK, w.Code)
				require.Equal(t, sse, w.Header().Get("Content-Type"))
				require.Equal(t, f.calls[0].Target.Name, w.Header().Get("Signature"), "the head is that of the first target")
			})
		})
	}
}

// TestErrorsInPlaceOfAHandover guards against streams that are ended where they are served, or get bytes of an error, as the target
// that is to take over answers with one.
func TestErrorsInPlaceOfAHandover(t *testing.T) {
	for _, c := range errorAnswers {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newHandoverFleet(t, 1, answer{})
				f.request.Route.MaxAttempts = 2
				send := f.relayer.Backend.Send
				sends := 0
				f.relayer.Backend.Send = func(ctx context.Context, call Call) (*Reply, error) {
					if sends++; sends == 1 {
						return send(ctx, call)
					}
					a := c.answer
					// The event after the last one that was delivered is the third in the table.
					body := strings.NewReplacer(eventRange(3, 3), "", eventRange(4, 4), "").Replace(a.body)
					reply := &Reply{Status: a.status, Header: http.Header{}, Body: io.NopCloser(strings.NewReader(body)), NotRun: a.notRun, Signed: !a.unsigned, Unframed: a.unframed}
					if a.mediaType != "" {
						reply.Header.Set("Content-Type", a.mediaType)
					}
					return reply, nil
				}
				f.leave(0)
				w, refusal, aborted := serve(f.relayer, f.request)
				require.Nil(t, refusal)
				require.Equal(t, 2, sends)
				whole := eventRange(1, 60)
				require.True(t, strings.HasPrefix(whole, w.Body.String()), "%q", w.Body.String())
				require.Equal(t, len(w.Body.String()) < len(whole), aborted, "the stream must not look complete")
				if !(&Reply{Status: c.answer.status, Signed: !c.answer.unsigned}).IsSignedSuccess() || c.answer.mediaType != "" {
					require.Equal(t, whole, w.Body.String(), "the stream is still served where it is")
				}
			})
		})
	}
}

// TestErrorsBeforeAStreamBegins checks that only a whole error of a target is passed on, in place of the stream.
func TestErrorsBeforeAStreamBegins(t *testing.T) {
	for _, c := range errorAnswers {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				answer := c.answer
				answer.body = strings.NewReplacer("id: 3", "id: 1", "id: 4", "id: 2").Replace(answer.body)
				f := &fakeBackend{scripts: []script{answer}}
				w, refusal, _ := serve(newTestRelayer(f), stream(false))
				switch {
				case refusal != nil:
					require.Empty(t, w.Body.String())
					require.Empty(t, w.Header())
				case w.Code >= http.StatusMultipleChoices:
					require.Equal(t, answer.body, w.Body.String())
					require.Equal(t, answer.status, w.Code)
				default:
					require.NotContains(t, w.Body.String(), "HTTP/1.1")
					require.NotContains(t, w.Body.String(), "<html>")
					require.NotContains(t, w.Body.String(), "message")
				}
			})
		})
	}
}

// TestAnyBytesAfterAStreamHasBegun checks with generated answers that a client only gets whole events with the next ids.
func TestAnyBytesAfterAStreamHasBegun(t *testing.T) {
	pieces := []string{
		eventRange(1, 2), eventRange(3, 3), eventRange(4, 4), eventRange(3, 5), ": comment\n\n", "\n", "\r\n", "data: x\n", "data: x\n\n", "id: 9\n\n", "id: 3\n",
		errorHead, errorPage, errorJSON, "event: error\n\n", "HTTP/1.1 200 OK\r\n", "\x00", "id: 99999999999999999999\n\n", "retry: 5\n\n",
	}
	rapid.Check(t, func(t *rapid.T) {
		body := strings.Join(rapid.SliceOfN(rapid.SampledFrom(pieces), 0, 6).Draw(t, "pieces"), "")
		body = body[:rapid.IntRange(0, len(body)).Draw(t, "length")]
		e := events{last: "2", resumed: true}
		var out []byte
		for intact, rest := true, body; intact && rest != ""; {
			n := rapid.IntRange(1, len(rest)).Draw(t, "read")
			var delivered []byte
			delivered, intact = e.parse([]byte(rest[:n]))
			out, rest = append(out, delivered...), rest[n:]
		}
		last := uint64(2)
		for _, event := range strings.SplitAfter(strings.ReplaceAll(string(out), "\r\n", "\n"), "\n\n") {
			id, ok := eventID([]byte(event))
			if n, isNumber := parseNumber(id); ok && isNumber {
				require.Equal(t, last+1, n, "%q", out)
				last = n
			}
			require.NotContains(t, event, "HTTP")
			require.NotContains(t, event, "<")
			require.False(t, last == 2 && !isComment([]byte(event)), "%q comes before a continuation", event)
		}
	})
}
