package receiver

import (
	"context"
	"net/http"
	"net/http/httptest"
	"testing"

	"connectrpc.com/connect"
	"github.com/stretchr/testify/require"

	v1 "github.com/rattantray/rattantray/pkg/api/rattantray/v1"
	"github.com/rattantray/rattantray/pkg/api/rattantray/v1/rattantrayv1connect"
)

// flushCounter counts the flushes that reach the connection.
type flushCounter struct {
	http.ResponseWriter
	flushes int
}

func (c *flushCounter) Flush() { c.flushes++ }

func TestReadyPartsAreFlushedTogether(t *testing.T) {
	tests := []struct {
		name   string
		req    *v1.Request
		change func(b *testBench)
		parts  int
		want   int
	}{
		// The server flushes by itself when the handler returns.
		{"plain answer", plainRequest("GET /status"), nil, 1, 0},
		{"ordered plain answer", modify(plainRequest("GET /status"), func(r *v1.Request) { r.OrderingKey, r.Sequence = "k", 1 }), nil, 1, 1},
		{"tokens with a wait after the second", modelRequest(), func(b *testBench) {
			b.Generate = func(_ context.Context, g Generation, emit func(Token) error) error {
				for i := range 4 {
					if err := emit(Token{Attempt: 1, Position: uint64(i), Last: i == 3}); err != nil {
						return err
					}
					if i == 1 {
						g.Flush()
					}
				}
				return nil
			}
		}, 4, 2},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			b := newTestBench(t)
			if tt.change != nil {
				tt.change(b)
			}
			_, handler := rattantrayv1connect.NewRouterServiceHandler(b.Receiver)
			counted := &flushCounter{}
			server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, req *http.Request) {
				counted.ResponseWriter = w
				BatchWrites(handler).ServeHTTP(counted, req)
			}))
			defer server.Close()
			stream, err := rattantrayv1connect.NewRouterServiceClient(server.Client(), server.URL).
				Send(t.Context(), connect.NewRequest(&v1.SendRequest{Request: tt.req}))
			require.NoError(t, err)
			parts := 0
			for stream.Receive() {
				parts++
			}
			require.NoError(t, stream.Err())
			require.NoError(t, stream.Close())
			require.Equal(t, tt.parts, parts)
			require.Equal(t, tt.want, counted.flushes)
		})
	}
}
