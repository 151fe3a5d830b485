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

	mu          sync.Mutex
	lifetime    context.Context
	endLifetime context.CancelFunc
	closed      bool
	holdings    []cataloger.Holding
	role        string
	leaving     bool
	fencing     uint64
	orders      map[string]*v1.OrderResponse
	fences      map[requestKey]fence
	sessions    map[requestKey]*session
	kv          map[requestKey]kvState
	exports     map[string]kvState
	pulls       map[layerRange]*pull
	load        loadState
	// busyUntil is when the accelerator will have finished the work accepted so far.
	busyUntil     time.Time
	linkBusyUntil map[string]time.Time
	goroutines    sync.WaitGroup
}

// fence is the oldest attempt of a request that is still accepted.
type fence struct {
	attempt uint32
	expires time.Time
}

// New returns an engine; serve its Handler, and call Close to end its streams.
func New(cfg Config) *Engine {
	cfg = cfg.withDefaults()
	e := &Engine{
		cfg:           cfg,
		pool:          engineer.NewPool(cfg.Client),
		ledger:        newLedger(),
		faults:        newFaults(),
		cache:         newPrefixCache(cfg),
		holdings:      slices.Clone(cfg.Holdings),
		role:          cfg.Role,
		orders:        make(map[string]*v1.OrderResponse),
		fences:        make(map[requestKey]fence),
		sessions:      make(map[requestKey]*session),
		kv:            make(map[requestKey]kvState),
		exports:       make(map[string]kvState),
		pulls:         make(map[layerRange]*pull),
		linkBusyUntil: make(map[string]time.Time),
	}
	e.lifetime, e.endLifetime = context.WithCancel(context.Background())
	return e
}

// Close ends every stream and waits for the engine's goroutines.
func (e *Engine) Close() {
	e.mu.Lock()
	e.closed = true
	e.endLifetime()
	e.mu.Unlock()
	e.goroutines.Wait()
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
		e.endLifetime()
		e.sessions = make(map[requestKey]*session)
		e.kv = make(map[requestKey]kvState)
		e.exports = make(map[string]kvState)
		return nil
	}
	if e.lifetime.Err() != nil && !e.closed {
		e.lifetime, e.endLifetime = context.WithCancel(context.Background())
	}
	return nil
}

// Ledger returns a copy of the ledger.
func (e *Engine) Ledger() Ledger {
	l := e.ledger.snapshot()
	e.mu.Lock()
	defer e.mu.Unlock()
	l.Target = e.cfg.Name
	l.Holdings = slices.Clone(e.holdings)
	return l
}

// Handler serves the engine API, GET /kv, GET /ledger and POST /faults.
func (e *Engine) Handler() http.Handler {
	path, rpc := enginev1connect.NewEngineServiceHandler(service{e}, connect.WithCompressMinBytes(compressFromBytes))
	mux := http.NewServeMux()
	mux.Handle(path, e.abortWhenDead(rpc))
	mux.Handle("GET /kv", e.abortWhenDead(http.HandlerFunc(e.serveKV)))
	mux.HandleFunc("GET /ledger", func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, e.Ledger()) })
	mux.HandleFunc("POST /faults", e.serveFaults)
	return mux
}

// NewServer returns a server of handler for HTTP/1.1 and HTTP/2 without TLS.
func NewServer(handler http.Handler) *http.Server {
	protocols := new(http.Protocols)
	protocols.SetHTTP1(true)
	protocols.SetUnencryptedHTTP2(true)
	return &http.Server{Handler: handler, Protocols: protocols, ReadHeaderTimeout: 10 * time.Second}
}

// abortWhenDead drops requests without an answer while the engine is dead, and those in progress when it dies.
func (e *Engine) abortWhenDead(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		e.mu.Lock()
		lifetime := e.lifetime
		e.mu.Unlock()
		if lifetime.Err() != nil {
			panic(http.ErrAbortHandler)
		}
		ctx, cancel := context.WithCancel(r.Context())
		defer cancel()
		stop := context.AfterFunc(lifetime, cancel)
		defer stop()
		next.ServeHTTP(w, r.WithContext(ctx))
		if lifetime.Err() != nil {
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

// refusalError counts a refusal and returns it as an error that names this target.
func (e *Engine) refusalError(code connect.Code, reason, format string, args ...any) error {
	e.ledger.countRefusal(reason)
	return e.failureError(code, format, args...)
}

// holds reports whether the engine has the layers of a version ready.
func (e *Engine) holds(req *v1.GenerateRequest, first, end uint32) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return slices.ContainsFunc(e.holdings, func(h cataloger.Holding) bool {
		return h.Ready && h.Model == req.Model && h.Version == req.Version &&
			h.FirstLayer <= first && end <= h.EndLayer &&
			(req.Adapter == "" || slices.Contains(h.Adapters, req.Adapter))
	})
}

// admitAttempt raises the fence of a request to attempt and reports whether the attempt is accepted.
func (e *Engine) admitAttempt(key requestKey, attempt uint32) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.raiseFence(key, attempt) <= attempt
}

// raiseFence raises the fence of a request and returns the oldest attempt that is accepted. The caller holds e.mu.
func (e *Engine) raiseFence(key requestKey, attempt uint32) uint32 {
	now := e.cfg.Clock.Now()
	if len(e.fences) > maxFences {
		e.sweepFences(now)
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

func (e *Engine) sweepFences(now time.Time) {
	for k, f := range e.fences {
		if now.After(f.expires) {
			delete(e.fences, k)
		}
	}
}

func (e *Engine) isFenced(key requestKey, attempt uint32) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.fences[key].attempt > attempt
}

// compressFromBytes is the minimum size of a message for which compression is worth its processor time.
const compressFromBytes = 16 << 10
