package enginefaker

import (
	"context"
	"encoding/json"
	"net/http"
	"slices"
	"sync"
	"time"

	"connectrpc.com/connect"

	"github.com/rattantray/rattantray/internal/cataloger"
	"github.com/rattantray/rattantray/internal/engineer"
	v1 "github.com/rattantray/rattantray/pkg/api/rattantray/engine/v1"
	"github.com/rattantray/rattantray/pkg/api/rattantray/engine/v1/enginev1connect"
)

type requestKey struct{ workspace, request string }

// Engine is a fake model engine.
type Engine struct {
	cfg    Config
	pool   *engineer.Pool
	ledger *ledger
	faults *faults
	cache  *prefixCache

	mu       sync.Mutex
	life     context.Context
	kill     context.CancelFunc
	closed   bool
	holdings []cataloger.Holding
	role     string
	leaving  bool
	fencing  uint64
	orders   map[string]*v1.OrderResponse
	fences   map[requestKey]fence
	sessions map[requestKey]*session
	kv       map[requestKey]kvState
	exports  map[string]kvState
	pulls    map[layerRange]*pull
	load     loadBoard
	// busyUntil is when the accelerator has done the work accepted so far.
	busyUntil time.Time
	linkBusy  map[string]time.Time
	wait      sync.WaitGroup
}

// fence is the oldest attempt of a request that is still accepted.
type fence struct {
	attempt uint32
	expires time.Time
}

// New returns an engine that is served through its Handler and ends its streams on Close.
func New(cfg Config) *Engine {
	cfg = cfg.withDefaults()
	e := &Engine{
		cfg:      cfg,
		pool:     engineer.NewPool(cfg.Client),
		ledger:   newLedger(),
		faults:   newFaults(),
		cache:    newPrefixCache(cfg),
		holdings: slices.Clone(cfg.Holdings),
		role:     cfg.Role,
		orders:   make(map[string]*v1.OrderResponse),
		fences:   make(map[requestKey]fence),
		sessions: make(map[requestKey]*session),
		kv:       make(map[requestKey]kvState),
		exports:  make(map[string]kvState),
		pulls:    make(map[layerRange]*pull),
		linkBusy: make(map[string]time.Time),
	}
	e.life, e.kill = context.WithCancel(context.Background())
	return e
}

// Close ends every stream and waits for the engine's goroutines.
func (e *Engine) Close() {
	e.mu.Lock()
	e.closed = true
	e.kill()
	e.mu.Unlock()
	e.wait.Wait()
	e.pool.Close()
}

// SetFaults replaces the faults; an empty list clears them.
func (e *Engine) SetFaults(list ...Fault) error {
	for _, f := range list {
		if err := f.Validate(); err != nil {
			return err
		}
	}
	e.faults.set(list)
	e.mu.Lock()
	defer e.mu.Unlock()
	if !e.faults.alive() {
		e.kill()
		e.sessions = make(map[requestKey]*session)
		e.kv = make(map[requestKey]kvState)
		e.exports = make(map[string]kvState)
		return nil
	}
	if e.life.Err() != nil && !e.closed {
		e.life, e.kill = context.WithCancel(context.Background())
	}
	return nil
}

// Ledger returns what the engine ran so far.
func (e *Engine) Ledger() Ledger {
	l := e.ledger.snapshot()
	e.mu.Lock()
	defer e.mu.Unlock()
	l.Target = e.cfg.Name
	l.Holdings = slices.Clone(e.holdings)
	return l
}

// Handler serves the engine API, GET /ledger and POST /faults.
func (e *Engine) Handler() http.Handler {
	path, rpc := enginev1connect.NewEngineServiceHandler(service{e}, connect.WithCompressMinBytes(compressFromBytes))
	mux := http.NewServeMux()
	mux.Handle(path, e.mortal(rpc))
	mux.Handle("GET /kv", e.mortal(http.HandlerFunc(e.serveKV)))
	mux.HandleFunc("GET /ledger", func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, e.Ledger()) })
	mux.HandleFunc("POST /faults", e.serveFaults)
	return mux
}

// NewServer returns a server of handler that speaks HTTP/1.1 and HTTP/2 without TLS.
func NewServer(handler http.Handler) *http.Server {
	protocols := new(http.Protocols)
	protocols.SetHTTP1(true)
	protocols.SetUnencryptedHTTP2(true)
	return &http.Server{Handler: handler, Protocols: protocols, ReadHeaderTimeout: 10 * time.Second}
}

// mortal drops requests without an answer while the engine is dead and when it dies.
func (e *Engine) mortal(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		e.mu.Lock()
		life := e.life
		e.mu.Unlock()
		if life.Err() != nil {
			panic(http.ErrAbortHandler)
		}
		ctx, cancel := context.WithCancel(r.Context())
		defer cancel()
		stop := context.AfterFunc(life, cancel)
		defer stop()
		next.ServeHTTP(w, r.WithContext(ctx))
		if life.Err() != nil {
			panic(http.ErrAbortHandler)
		}
	})
}

func (e *Engine) serveFaults(w http.ResponseWriter, r *http.Request) {
	var list []Fault
	d := json.NewDecoder(http.MaxBytesReader(w, r.Body, 1<<20))
	d.DisallowUnknownFields()
	err := d.Decode(&list)
	if err == nil {
		err = e.SetFaults(list...)
	}
	if err != nil {
		http.Error(w, "faults: "+err.Error(), http.StatusBadRequest)
		return
	}
	w.WriteHeader(http.StatusNoContent)
}

func writeJSON(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(v)
}

// refuse counts a refusal and returns it as an error that names this target.
func (e *Engine) refuse(code connect.Code, reason, format string, args ...any) error {
	e.ledger.refuse(reason)
	return e.failure(code, format, args...)
}

// holds tells whether the engine has the layers of a version ready.
func (e *Engine) holds(req *v1.GenerateRequest, first, end uint32) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return slices.ContainsFunc(e.holdings, func(h cataloger.Holding) bool {
		return h.Ready && h.Model == req.Model && h.Version == req.Version &&
			h.FirstLayer <= first && end <= h.EndLayer &&
			(req.Adapter == "" || slices.Contains(h.Adapters, req.Adapter))
	})
}

// admit raises the fence of a request to attempt and tells whether the attempt is not fenced.
func (e *Engine) admit(key requestKey, attempt uint32) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.raise(key, attempt) <= attempt
}

// raise requires e.mu and returns the oldest attempt that is accepted.
func (e *Engine) raise(key requestKey, attempt uint32) uint32 {
	now := e.cfg.Clock.Now()
	if len(e.fences) > maxFences {
		e.sweep(now)
	}
	f := e.fences[key]
	f.attempt = max(f.attempt, attempt)
	f.expires = now.Add(fenceLifetime)
	e.fences[key] = f
	return f.attempt
}

const (
	maxFences     = 50_000
	fenceLifetime = 10 * time.Minute
)

func (e *Engine) sweep(now time.Time) {
	for k, f := range e.fences {
		if now.After(f.expires) {
			delete(e.fences, k)
		}
	}
}

func (e *Engine) fenced(key requestKey, attempt uint32) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.fences[key].attempt > attempt
}

// compressFromBytes is the size of a message from which compressing it is worth its processor time.
const compressFromBytes = 16 << 10
