package platformfaker

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"time"

	"connectrpc.com/connect"
	"github.com/cockroachdb/errors"

	"github.com/rattantray/rattantray/internal/storer"
	platformv1 "github.com/rattantray/rattantray/pkg/api/rattantray/platform/v1"
	"github.com/rattantray/rattantray/pkg/api/rattantray/platform/v1/platformv1connect"
)

const maxFaultBytes = 64 << 10

// Handler serves the platform over HTTP, together with POST /faults, DELETE /faults, POST /restore?age=5s and GET
// /ledger.
func (p *Platform) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.Handle(platformv1connect.NewPlatformServiceHandler(&server{store: p.Store()}))
	mux.HandleFunc("POST /faults", p.postFault)
	mux.HandleFunc("DELETE /faults", func(w http.ResponseWriter, _ *http.Request) {
		p.ClearFaults()
		w.WriteHeader(http.StatusNoContent)
	})
	mux.HandleFunc("POST /restore", p.postRestore)
	mux.HandleFunc("GET /ledger", func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "application/json")
		_ = json.NewEncoder(w).Encode(p.Ledger())
	})
	return mux
}

func (p *Platform) postFault(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(io.LimitReader(r.Body, maxFaultBytes))
	if err == nil {
		var f Fault
		if f, err = ParseFault(body); err == nil {
			p.Inject(f)
			w.WriteHeader(http.StatusNoContent)
			return
		}
	}
	http.Error(w, err.Error(), http.StatusBadRequest)
}

func (p *Platform) postRestore(w http.ResponseWriter, r *http.Request) {
	age, err := time.ParseDuration(r.URL.Query().Get("age"))
	if err == nil {
		err = p.Restore(age)
	}
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	w.WriteHeader(http.StatusNoContent)
}

type server struct {
	store storer.Store
}

var _ platformv1connect.PlatformServiceHandler = (*server)(nil)

// Get implements platformv1connect.PlatformServiceHandler.
func (s *server) Get(ctx context.Context, req *connect.Request[platformv1.GetRequest]) (*connect.Response[platformv1.GetResponse], error) {
	o, err := s.store.Get(ctx, req.Msg.Key)
	if err != nil {
		return nil, wireError(err)
	}
	return connect.NewResponse(&platformv1.GetResponse{Object: storer.ObjectToProto(o)}), nil
}

// List implements platformv1connect.PlatformServiceHandler.
func (s *server) List(ctx context.Context, req *connect.Request[platformv1.ListRequest]) (*connect.Response[platformv1.ListResponse], error) {
	objects, revision, err := s.store.List(ctx, req.Msg.Prefix)
	if err != nil {
		return nil, wireError(err)
	}
	resp := &platformv1.ListResponse{Revision: uint64(revision)}
	for _, o := range objects {
		resp.Objects = append(resp.Objects, storer.ObjectToProto(o))
	}
	return connect.NewResponse(resp), nil
}

// Put implements platformv1connect.PlatformServiceHandler.
func (s *server) Put(ctx context.Context, req *connect.Request[platformv1.PutRequest]) (*connect.Response[platformv1.PutResponse], error) {
	version, err := s.store.Put(ctx, req.Msg.Key, req.Msg.Value, storer.Point(req.Msg.ExpectedVersion))
	if err != nil {
		return nil, wireError(err)
	}
	return connect.NewResponse(&platformv1.PutResponse{Version: uint64(version)}), nil
}

// Delete implements platformv1connect.PlatformServiceHandler.
func (s *server) Delete(ctx context.Context, req *connect.Request[platformv1.DeleteRequest]) (*connect.Response[platformv1.DeleteResponse], error) {
	revision, err := s.store.Delete(ctx, req.Msg.Key, storer.Point(req.Msg.ExpectedVersion))
	if err != nil {
		return nil, wireError(err)
	}
	return connect.NewResponse(&platformv1.DeleteResponse{Revision: uint64(revision)}), nil
}

// Watch implements platformv1connect.PlatformServiceHandler.
func (s *server) Watch(ctx context.Context, req *connect.Request[platformv1.WatchRequest], stream *connect.ServerStream[platformv1.WatchResponse]) error {
	err := s.store.Watch(ctx, req.Msg.Prefix, storer.Point(req.Msg.FromRevision), func(e storer.Event) error {
		return stream.Send(storer.EventToProto(e))
	})
	return wireError(err)
}

// ListVMs implements platformv1connect.PlatformServiceHandler.
func (s *server) ListVMs(ctx context.Context, _ *connect.Request[platformv1.ListVMsRequest]) (*connect.Response[platformv1.ListVMsResponse], error) {
	vms, err := s.store.ListVMs(ctx)
	if err != nil {
		return nil, wireError(err)
	}
	resp := &platformv1.ListVMsResponse{}
	for _, vm := range vms {
		resp.Vms = append(resp.Vms, storer.VMToProto(vm))
	}
	return connect.NewResponse(resp), nil
}

// wireError converts an error for the wire. Where the answer is lost it cuts the connection, so that the outcome is as uncertain
// to the caller as with a real platform.
func wireError(err error) error {
	if errors.Is(err, storer.ErrUncertain) {
		panic(http.ErrAbortHandler)
	}
	return storer.WireError(err)
}
