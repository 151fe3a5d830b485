package engineer

import (
	"context"
	"io"
	"net/http"

	"connectrpc.com/connect"
	"github.com/cockroachdb/errors"

	v1 "github.com/rattantray/rattantray/pkg/api/rattantray/engine/v1"
	"github.com/rattantray/rattantray/pkg/api/rattantray/engine/v1/enginev1connect"
)

// Engine calls one model engine through functions that tests may replace; all errors are connect errors.
type Engine struct {
	// Address is host:port.
	Address string
	// Generate starts an attempt; the answer's stream ends with io.EOF.
	Generate func(context.Context, *v1.GenerateRequest) (*Stream, error)
	// Resume continues the stream of an attempt that the engine still holds.
	Resume func(context.Context, *v1.ResumeRequest) (*Stream, error)
	// Cancel ends attempts up to a number and fences them.
	Cancel func(context.Context, *v1.CancelRequest) (*v1.CancelResponse, error)
	// ExportKV freezes the KV cache of a request at a token boundary.
	ExportKV func(context.Context, *v1.ExportKVRequest) (*v1.ExportKVResponse, error)
	// ImportKV makes the engine pull a KV cache from another engine.
	ImportKV func(context.Context, *v1.ImportKVRequest) (*v1.ImportKVResponse, error)
	// Load returns the engine's load, with a lag.
	Load func(context.Context, *v1.LoadRequest) (*v1.LoadResponse, error)
	// CacheEvents streams prefix-cache events until ctx is done.
	CacheEvents func(context.Context, *v1.CacheEventsRequest) (*Events, error)
	// Order sends the engine an order.
	Order func(context.Context, *v1.OrderRequest) (*v1.OrderResponse, error)
	// Describe returns the properties of the engine and what it holds.
	Describe func(context.Context, *v1.DescribeRequest) (*v1.DescribeResponse, error)
	// Forward opens the stream of activations to the engine; only engines call it.
	Forward func(context.Context) *Activations
}

// Stream is the answer of an attempt.
type Stream struct {
	// Receive returns the next token, io.EOF after the last one, or a connect error.
	Receive func() (*v1.GenerateResponse, error)
	// Close ends the stream without reading the rest.
	Close func() error
	// Buffered reports whether Receive would return without blocking; nil if that is not known.
	Buffered func() bool
}

// Events is a stream of prefix-cache events.
type Events struct {
	// Receive returns the next event, io.EOF at the end, or a connect error.
	Receive func() (*v1.CacheEventsResponse, error)
	// Close ends the stream.
	Close func() error
}

// Activations is the two-way stream between two stages.
type Activations struct {
	// Send sends an activation to the next stage.
	Send func(*v1.ForwardRequest) error
	// Receive returns the next token from the following stages.
	Receive func() (*v1.ForwardResponse, error)
	// Close ends both directions.
	Close func() error
}

// New returns the engine at address, called over client.
func New(client *http.Client, address string) *Engine {
	c := enginev1connect.NewEngineServiceClient(client, "http://"+address)
	return &Engine{
		Address: address,
		Generate: func(ctx context.Context, req *v1.GenerateRequest) (*Stream, error) {
			ctx, slot := withBodySlot(ctx)
			return stream(slot)(c.Generate(ctx, connect.NewRequest(req)))
		},
		Resume: func(ctx context.Context, req *v1.ResumeRequest) (*Stream, error) {
			ctx, slot := withBodySlot(ctx)
			return stream(slot)(c.Resume(ctx, connect.NewRequest(req)))
		},
		CacheEvents: func(ctx context.Context, req *v1.CacheEventsRequest) (*Events, error) {
			s, err := c.CacheEvents(ctx, connect.NewRequest(req))
			if err != nil {
				return nil, err
			}
			return &Events{Receive: receiver(s), Close: s.Close}, nil
		},
		Forward:  func(ctx context.Context) *Activations { return activations(c.Forward(ctx)) },
		Cancel:   unary(c.Cancel),
		ExportKV: unary(c.ExportKV),
		ImportKV: unary(c.ImportKV),
		Load:     unary(c.Load),
		Order:    unary(c.Order),
		Describe: unary(c.Describe),
	}
}

func unary[Q, A any](call func(context.Context, *connect.Request[Q]) (*connect.Response[A], error)) func(context.Context, *Q) (*A, error) {
	return func(ctx context.Context, req *Q) (*A, error) {
		res, err := call(ctx, connect.NewRequest(req))
		if err != nil {
			return nil, err
		}
		return res.Msg, nil
	}
}

func stream(slot *bodySlot) func(*connect.ServerStreamForClient[v1.GenerateResponse], error) (*Stream, error) {
	return func(s *connect.ServerStreamForClient[v1.GenerateResponse], err error) (*Stream, error) {
		if err != nil {
			return nil, err
		}
		receive := receiver(s)
		// The slot is filled in by another goroutine before the first message is received.
		received := false
		return &Stream{
			Receive: func() (*v1.GenerateResponse, error) {
				m, err := receive()
				received = true
				return m, err
			},
			Close:    s.Close,
			Buffered: func() bool { return received && slot.body.hasMessage() },
		}, nil
	}
}

func receiver[A any](s *connect.ServerStreamForClient[A]) func() (*A, error) {
	return func() (*A, error) {
		if s.Receive() {
			return s.Msg(), nil
		}
		if err := s.Err(); err != nil {
			return nil, err
		}
		return nil, io.EOF
	}
}

func activations(s *connect.BidiStreamForClient[v1.ForwardRequest, v1.ForwardResponse]) *Activations {
	return &Activations{
		Send:    s.Send,
		Receive: s.Receive,
		Close: func() error {
			return errors.CombineErrors(s.CloseRequest(), s.CloseResponse())
		},
	}
}
