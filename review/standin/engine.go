package main

import (
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// engine is a stand-in for a model replica that can hold all layers and serves streams of numbered events.
type engine struct {
	id, service, zone string
	layers            int
	// slots is how many streams run at a time; up to queue more wait, for at most maxQueueTime, and are then rejected.
	slots, queue int
	events       int
	gap          time.Duration
	// One in pauseEvery gaps is a pause of minPause to maxPause, as a request is preempted and read again; 0 means none.
	pauseEvery int
	store      *store
	ledger     *ledger

	address string
	born    int64
	server  *http.Server

	mu               sync.Mutex
	from, to         int
	orders           int
	busy             bool
	running, waiting int
}

// minPause and maxPause bound the pauses within a stream; clients leave after two seconds.
const minPause, maxPause = 400 * time.Millisecond, 1200 * time.Millisecond

// minQueueTime and maxQueueTime bound how long a request waits for a place before a full replica rejects it.
const minQueueTime, maxQueueTime = 500 * time.Millisecond, 1500 * time.Millisecond

func (e *engine) start() error {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return err
	}
	e.address, e.born = l.Addr().String(), time.Now().UnixMilli()
	e.server = &http.Server{Handler: e, IdleTimeout: 10 * time.Second}
	go func() { _ = e.server.Serve(l) }()
	e.publish("ready")
	return nil
}

// publish writes the entry in the store.
func (e *engine) publish(state string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	entry := m{
		"service": e.service, "address": e.address, "zone": e.zone, "version": "v1", "slots": e.slots, "state": state, "cold_remaining_ms": 0,
		"stage": "prefill_decode", "models": []any{}, "kind": "big", "sequence": 1, "born": e.born,
	}
	if e.to > e.from {
		entry["models"] = []any{m{"name": "model", "version": 1, "adapters": []any{}}}
		entry["layers"] = m{"from": e.from, "target": e.to, "version": 1}
	}
	e.store.Put("servers", e.id, entry)
}

// load returns how many streams run, and how many requests wait.
func (e *engine) load() (running, waiting int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.running, e.waiting
}

// engineService returns a service of engines that each can hold all layers.
func engineService(name string, layers, slots int) m {
	return m{"name": name, "health_path": "/health", "max_connections": 1058, "protocol": "h1", "tls": false, "engine": m{
		"slots": slots, "kv_cache_tokens": 100000, "kv_token_bytes": 459000, "link_mbps": 480000.0, "stride": 2,
		"models":  []m{{"name": "model", "pace": 1.0, "load_s": 0.5, "warm_s": 0.1}},
		"step_ms": 0.85, "per_seq_ms": 0.00297, "context_per_k": 0.00398, "read_per_s": 252000.0, "pairs_per_m": 0.129, "chunk": 512,
		"report_lag_ms": 200.0, "loads_per_s": 0.0, "loads_at_once": 6, "delays": []m{}, "usual": m{"prompt": 772, "answer": 154},
		"layers": layers, "layer_mb": 1750.0, "activation_bytes": 22900, "pipe_mbps": 7900.0,
		"kinds": []m{{"name": "big", "size_mb": 80000.0, "pace": 3.1, "read_factor": 3.2}},
	}}
}

func streamRoute(name, prefix, service string) m {
	r := route(name, prefix, "streaming", service, 20000, 2)
	r["session_affinity"], r["resumable"], r["target_gap_ms"], r["target_latency_ms"] = true, true, 200, 500
	return r
}

// ServeHTTP serves orders, reports and streams.
func (e *engine) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	w.Header().Set("X-Rattantray-Instance-Id", e.id)
	if want := r.Header.Get("X-Rattantray-Expected-Instance"); want != "" && want != e.id {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	switch r.URL.Path {
	case "/health":
		w.WriteHeader(http.StatusOK)
	case "/report":
		e.mu.Lock()
		defer e.mu.Unlock()
		writeJSON(w, http.StatusOK, m{
			"stage": "prefill_decode", "models": []any{}, "busy": e.busy, "sequence": e.orders, "waiting": e.waiting, "running": e.running,
			"kv_used": 0, "kv_total": 100000, "handles": 0, "pace": 1.0, "stalled": []any{}, "born": e.born,
		})
	case "/order":
		e.order(w, r)
	default:
		e.stream(w, r)
	}
}

func (e *engine) order(w http.ResponseWriter, r *http.Request) {
	var o struct {
		Operation string `json:"operation"`
		From      int    `json:"from"`
		Target    int    `json:"target"`
		Expected  *int   `json:"expected"`
		ID        string `json:"id"`
	}
	if json.NewDecoder(r.Body).Decode(&o) != nil || o.Operation != "place" {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	switch {
	case o.From == e.from && o.Target == e.to:
		w.WriteHeader(http.StatusOK)
	case e.busy || o.Expected != nil && *o.Expected != e.orders:
		w.WriteHeader(http.StatusConflict)
	default:
		e.orders++
		e.busy = true
		time.AfterFunc(200*time.Millisecond, func() {
			e.mu.Lock()
			e.from, e.to, e.busy = o.From, o.Target, false
			e.mu.Unlock()
			e.publish("ready")
		})
		w.WriteHeader(http.StatusAccepted)
	}
}

// holds reports whether the engine is the whole path and holds its layers.
func (e *engine) holds(path string) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	if path == "" {
		return e.from == 0 && e.to == e.layers
	}
	address, layers, _ := strings.Cut(path, "=")
	var from, to int
	_, err := fmt.Sscanf(layers, "%d-%d", &from, &to)
	return err == nil && !strings.Contains(path, ",") && address == e.address && e.from <= from && to <= e.to
}

// enter takes a place, or reports false if the queue is full or the request has waited long enough there.
func (e *engine) enter(r *http.Request) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.running >= e.slots && e.waiting >= e.queue {
		return false
	}
	e.waiting++
	defer func() { e.waiting-- }()
	for deadline := time.Now().Add(minQueueTime + rand.N(maxQueueTime-minQueueTime)); e.running >= e.slots; {
		e.mu.Unlock()
		select {
		case <-r.Context().Done():
		case <-time.After(10 * time.Millisecond):
		}
		e.mu.Lock()
		if r.Context().Err() != nil || !time.Now().Before(deadline) {
			return false
		}
	}
	e.running++
	return true
}

func (e *engine) leave() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.running--
}

func (e *engine) stream(w http.ResponseWriter, r *http.Request) {
	h, id := w.Header(), r.Header.Get("X-Rattantray-Request-Id")
	if _, err := io.Copy(io.Discard, r.Body); err != nil {
		return
	}
	h.Set("X-Rattantray-Request-Id", id)
	if !e.holds(r.Header.Get("X-Rattantray-Hop-Count")) {
		h.Set("At-Server", e.address)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if !e.enter(r) {
		h.Set("X-Rattantray-Not-Executed", "1")
		h.Set("At-Server", e.address)
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	defer e.leave()
	after, _ := strconv.Atoi(r.Header.Get("Last-Event-Id"))
	this := e.ledger.begin(&run{id: id, replica: e.id, service: e.service, path: r.URL.RequestURI()})
	h.Set("X-Rattantray-Response-Signature", "stream."+id)
	h.Set("X-Rattantray-Weight-Versions", "1")
	h.Set("Content-Type", "text/event-stream")
	w.WriteHeader(http.StatusOK)
	flush := http.NewResponseController(w)
	for n := after + 1; n <= e.events; n++ {
		if !e.pause(r) {
			e.ledger.end(this, false)
			return
		}
		_, _ = fmt.Fprintf(w, "id: %d\ndata: token %d\n\n", n, n)
		if flush.Flush() != nil {
			e.ledger.end(this, false)
			return
		}
	}
	e.ledger.end(this, true)
}

// pause waits for the next event, and reports false if the channel has closed.
func (e *engine) pause(r *http.Request) bool {
	gap := e.gap
	if e.pauseEvery > 0 && rand.IntN(e.pauseEvery) == 0 {
		gap = minPause + rand.N(maxPause-minPause)
	}
	select {
	case <-time.After(gap):
		return true
	case <-r.Context().Done():
		return false
	}
}
