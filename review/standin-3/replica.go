package main

import (
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// replica is a sound replica of a service.
type replica struct {
	world   *world
	id      string
	service string
	address string
	zone    string
	slots   int
	born    int64
	kind    string

	mu     sync.Mutex
	state  string
	layers map[string]any
	orders int
	work   time.Duration
	events int
	gap    time.Duration
	// full makes the replica refuse requests; wait is how long those that are less urgent wait in its queue.
	full     bool
	wait     time.Duration
	listener net.Listener
	server   *http.Server
	stopBeat chan struct{}
}

func (w *world) newReplica(id, service, kind string, slots int) *replica {
	l, err := net.Listen("tcp", w.replicaIP+":0")
	if err != nil {
		w.unable("listen: %v", err)
	}
	r := &replica{
		world: w, id: id, service: service, address: l.Addr().String(), zone: "zone-a", slots: slots, kind: kind, born: time.Now().UnixMilli(),
		state: "ready", work: 30 * time.Millisecond, events: 40, gap: 20 * time.Millisecond, stopBeat: make(chan struct{}),
	}
	r.server = &http.Server{Handler: r}
	go func() { _ = r.server.Serve(l) }()
	r.beat()
	go func() {
		for {
			select {
			case <-r.stopBeat:
				return
			case <-time.After(heartbeat):
				r.beat()
			}
		}
	}()
	w.replicas = append(w.replicas, r)
	return r
}

const heartbeat = 1200 * time.Millisecond

// entry returns the entry of the replica, complete.
func (r *replica) entry() map[string]any {
	r.mu.Lock()
	defer r.mu.Unlock()
	e := map[string]any{
		"service": r.service, "address": r.address, "zone": r.zone, "version": "v1", "slots": r.slots, "state": r.state,
		"cold_remaining_ms": 0, "sequence": 1, "born": r.born,
	}
	if r.kind != "" {
		e["kind"] = r.kind
		e["stage"] = "prefill_decode"
		e["models"] = []any{map[string]any{"name": "m0", "version": 1, "adapters": []any{}}}
		if r.layers != nil {
			e["layers"] = r.layers
		}
	}
	return e
}

func (r *replica) beat() { r.world.store.Set("servers", r.id, r.entry()) }

func (r *replica) ServeHTTP(w http.ResponseWriter, q *http.Request) {
	w.Header().Set("X-Rattantray-Instance-Id", r.id)
	if expected := q.Header.Get("X-Rattantray-Expected-Instance"); expected != "" && expected != r.id {
		w.Header().Set("X-Rattantray-Not-Executed", "1")
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	body, _ := io.ReadAll(q.Body)
	switch {
	case q.URL.Path == "/health":
		return
	case q.URL.Path == "/report":
		r.mu.Lock()
		defer r.mu.Unlock()
		answer(w, 200, map[string]any{
			"stage": "prefill_decode", "models": []any{}, "busy": false, "sequence": r.orders, "waiting": 0, "running": 0, "kv_used": 0,
			"kv_total": 1000000, "handles": 0, "pace": 1, "born": r.born, "layers": r.layers, "stalled": []any{},
		})
		return
	case q.URL.Path == "/order":
		r.order(w, body)
		return
	}
	id := q.Header.Get("X-Rattantray-Request-Id")
	if id != "" {
		w.Header().Set("X-Rattantray-Request-Id", id)
	}
	r.mu.Lock()
	work, events, gap, full, wait := r.work, r.events, r.gap, r.full, r.wait
	r.mu.Unlock()
	if full {
		r.world.note("refused %s by %s, which is full", id, r.id)
		w.Header().Set("X-Rattantray-Not-Executed", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	if wait > 0 && q.Header.Get("X-Rattantray-Request-Priority") != "0" {
		r.world.note("queued %s at %s behind more urgent requests", id, r.id)
		select {
		case <-time.After(wait):
		case <-q.Context().Done():
			r.world.takenBack(r, id)
			return
		}
	}
	r.world.ran(r, id, q)
	w.Header().Set("X-Rattantray-Response-Signature", "sig-"+id)
	if r.kind != "" || strings.HasPrefix(q.URL.Path, "/live/") {
		r.stream(w, q, events, gap)
		return
	}
	time.Sleep(work)
	w.Header().Set("Content-Type", "application/json")
	_, _ = fmt.Fprintf(w, `{"id":%q,"by":%q,"service":%q}`, id, r.id, r.service)
}

// order accepts placements of layers.
func (r *replica) order(w http.ResponseWriter, body []byte) {
	var m struct {
		Operation string
		From      int
		Target    int
		Expected  *int
	}
	if json.Unmarshal(body, &m) != nil || m.Operation != "place" {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if m.Expected != nil && *m.Expected != r.orders {
		w.WriteHeader(http.StatusConflict)
		return
	}
	r.orders++
	go func() {
		time.Sleep(300 * time.Millisecond)
		r.mu.Lock()
		r.layers = map[string]any{"from": m.From, "target": m.Target, "version": 1}
		r.mu.Unlock()
		r.beat()
	}()
	w.WriteHeader(http.StatusAccepted)
}

// stream answers with events, after the one that the requester has.
func (r *replica) stream(w http.ResponseWriter, q *http.Request, events int, gap time.Duration) {
	after := 0
	if v := q.Header.Get("Last-Event-Id"); v != "" {
		after, _ = strconv.Atoi(strings.TrimSpace(v))
	}
	w.Header().Set("Content-Type", "text/event-stream")
	w.WriteHeader(200)
	for n := 1; n <= events; n++ {
		if n <= after {
			continue
		}
		if _, err := fmt.Fprintf(w, "id: %d\ndata: piece %d of %d\n\n", n, n, events); err != nil {
			return
		}
		_ = http.NewResponseController(w).Flush()
		select {
		case <-q.Context().Done():
			return
		case <-time.After(gap):
		}
	}
}

func (r *replica) setFull(full bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.full = full
}

func (r *replica) setWait(wait time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.wait = wait
}

// crash ends the replica: its port refuses, its channels are closed, and it writes nothing any more.
func (r *replica) crash() {
	close(r.stopBeat)
	_ = r.server.Close()
}
