package caller

import (
	"context"
	"net"
	"net/http"
	"sync"
	"testing"
	"time"

	"connectrpc.com/connect"
	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/types/known/durationpb"

	v1 "github.com/rattantray/rattantray/pkg/api/rattantray/v1"
	"github.com/rattantray/rattantray/pkg/api/rattantray/v1/rattantrayv1connect"
	"github.com/rattantray/rattantray/pkg/refuser"
)

// step handles one Send of a scripted router.
type step func(ctx context.Context, req *v1.Request, out *connect.ServerStream[v1.SendResponse]) error

// fakeRouter answers with scripted steps over real loopback connections.
type fakeRouter struct {
	rattantrayv1connect.UnimplementedRouterServiceHandler
	address string
	server  *http.Server

	mu       sync.Mutex
	entries  []string
	script   []step
	received []*v1.Request
	outcome  v1.Outcome
}

func newFakeRouter(t *testing.T, script ...step) *fakeRouter {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	f := &fakeRouter{address: listener.Addr().String(), script: script}
	f.entries = []string{f.address}
	mux := http.NewServeMux()
	mux.Handle(rattantrayv1connect.NewRouterServiceHandler(f))
	protocols := new(http.Protocols)
	protocols.SetHTTP1(true)
	protocols.SetUnencryptedHTTP2(true)
	f.server = &http.Server{Handler: mux, Protocols: protocols}
	done := make(chan struct{})
	go func() {
		defer close(done)
		_ = f.server.Serve(listener)
	}()
	t.Cleanup(func() {
		_ = f.server.Close()
		<-done
	})
	return f
}

func (f *fakeRouter) Resolve(context.Context, *connect.Request[v1.ResolveRequest]) (*connect.Response[v1.ResolveResponse], error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	resp := &v1.ResolveResponse{TimeToLive: durationpb.New(time.Minute)}
	for _, a := range f.entries {
		resp.Entries = append(resp.Entries, &v1.Entry{Address: a})
	}
	return connect.NewResponse(resp), nil
}

func (f *fakeRouter) Send(ctx context.Context, req *connect.Request[v1.SendRequest], out *connect.ServerStream[v1.SendResponse]) error {
	f.mu.Lock()
	f.received = append(f.received, req.Msg.Request)
	var next step
	if len(f.script) > 0 {
		next = f.script[0]
		f.script = f.script[1:]
	}
	f.mu.Unlock()
	if next == nil {
		return refuser.New(refuser.NoPipeline, "no scripted step remains").Connect()
	}
	return next(ctx, req.Msg.Request, out)
}

func (f *fakeRouter) Get(_ context.Context, req *connect.Request[v1.GetRequest]) (*connect.Response[v1.GetResponse], error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return connect.NewResponse(&v1.GetResponse{RequestId: req.Msg.RequestId, Outcome: f.outcome}), nil
}

func (f *fakeRouter) requests() []*v1.Request {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.received
}

// sendParts sends positions [from,to) of an answer of total parts.
func sendParts(attempt uint32, from, to, total uint64) step {
	return func(_ context.Context, req *v1.Request, out *connect.ServerStream[v1.SendResponse]) error {
		for p := from; p < to; p++ {
			msg := &v1.SendResponse{
				RequestId: req.RequestId,
				Attempt:   attempt,
				Position:  p,
				Data:      []byte{byte('a' + p)},
				Last:      p == total-1,
			}
			if p == from {
				msg.ResumeToken = []byte("token")
			}
			if err := out.Send(msg); err != nil {
				return err
			}
		}
		return nil
	}
}

// sequence runs steps one after another on one stream.
func sequence(steps ...step) step {
	return func(ctx context.Context, req *v1.Request, out *connect.ServerStream[v1.SendResponse]) error {
		for _, s := range steps {
			if err := s(ctx, req, out); err != nil {
				return err
			}
		}
		return nil
	}
}

// sendPart sends a single part unchanged.
func sendPart(part *v1.SendResponse) step {
	return func(_ context.Context, _ *v1.Request, out *connect.ServerStream[v1.SendResponse]) error {
		return out.Send(part)
	}
}

// abortConnection breaks the connection as a killed router does.
func abortConnection(context.Context, *v1.Request, *connect.ServerStream[v1.SendResponse]) error {
	panic(http.ErrAbortHandler)
}

func refuse(r *refuser.Refusal) step {
	return func(context.Context, *v1.Request, *connect.ServerStream[v1.SendResponse]) error { return r.Connect() }
}
