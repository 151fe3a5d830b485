package caller

import (
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/types/known/durationpb"

	v1 "github.com/rattantray/rattantray/pkg/api/rattantray/v1"
)

// TestInvalidStatusOfARouterIsNoAnswer guards against callers that get an empty answer, as a router answered with a status that HTTP
// does not have.
func TestInvalidStatusOfARouterIsNoAnswer(t *testing.T) {
	for _, status := range []string{"000", "099", "101", "600", "999"} {
		for _, contentType := range []string{"application/proto", "application/connect+proto"} {
			server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
				conn, _, err := w.(http.Hijacker).Hijack()
				if err != nil {
					panic(err)
				}
				_, _ = conn.Write([]byte("HTTP/1.1 " + status + " Odd\r\nContent-Type: " + contentType + "\r\nContent-Length: 0\r\nConnection: close\r\n\r\n"))
				_ = conn.Close()
			}))
			c := New(server.Client(), []string{server.Listener.Addr().String()})
			_, err := c.Resolve(t.Context(), "counter", "letters")
			require.Error(t, err, status)
			c.entries.put(entryKey{"counter", "letters"}, []*v1.Entry{{Address: server.Listener.Addr().String()}}, time.Now().Add(time.Minute))
			_, err = c.Call(t.Context(), &v1.Request{
				RequestId: "r-1", Workspace: "counter", Service: "letters", Timeout: durationpb.New(500 * time.Millisecond),
			})
			require.Error(t, err, status)
			server.Close()
		}
	}
}
