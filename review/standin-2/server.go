package main

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// server is a stand-in for a replica that registers itself in the store.
type server struct {
	fleet             *fleet
	id, address, zone string
	service           string
	slots             int
	layers            map[string]any
	kind              string
	born              int64
	http              *http.Server

	mu       sync.Mutex
	state    string
	sequence int
	orders   int
	stop     chan struct{}
	// handle serves a request of a client.
	handle func(s *server, w http.ResponseWriter, r *http.Request)
}

const signature = "X-Rattantray-Response-Signature"

// addServer starts a server and registers it.
func (f *fleet) addServer(service, id, zone string, slots int, layers map[string]any, handle func(s *server, w http.ResponseWriter, r *http.Request)) (*server, error) {
	l, err := net.Listen("tcp", f.prefix+strconv.Itoa(100+len(f.servers))+":0")
	if err != nil {
		return nil, fmt.Errorf("%w: %w", errSetup, err)
	}
	s := &server{
		fleet: f, id: id, address: l.Addr().String(), zone: zone, service: service, slots: slots, layers: layers, handle: handle,
		state: "ready", born: time.Now().UnixMilli(), stop: make(chan struct{}),
	}
	if layers != nil {
		s.kind = "a100s"
	}
	s.http = &http.Server{Handler: s}
	go func() { _ = s.http.Serve(l) }()
	f.servers = append(f.servers, s)
	s.beat()
	go s.beats()
	return s, nil
}

func (s *server) beats() {
	for {
		select {
		case <-time.After(1200 * time.Millisecond):
			s.beat()
		case <-s.stop:
			return
		}
	}
}

func (s *server) setState(state string) {
	s.mu.Lock()
	s.state = state
	s.mu.Unlock()
	s.beat()
}

// beat writes the server's entry.
func (s *server) beat() {
	s.mu.Lock()
	s.sequence++
	m := map[string]any{
		"service": s.service, "address": s.address, "zone": s.zone, "version": "v1", "slots": s.slots, "state": s.state,
		"cold_remaining_ms": 0, "sequence": s.sequence, "born": s.born,
	}
	if s.layers != nil {
		m["stage"], m["kind"], m["layers"] = "prefill_decode", s.kind, s.layers
		m["models"] = []any{map[string]any{"name": "daka510000", "version": 1, "adapters": []string{}}}
	}
	s.mu.Unlock()
	s.fleet.store.putEntry(s.id, m)
}

func (s *server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if id := r.Header.Get("X-Rattantray-Expected-Instance"); id != "" && id != s.id {
		w.Header().Set("X-Rattantray-Instance-Id", s.id)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	switch r.URL.Path {
	case "/health":
		w.Header().Set("X-Rattantray-Instance-Id", s.id)
		w.WriteHeader(http.StatusOK)
	case "/report":
		reply(w, http.StatusOK, map[string]any{
			"stage": "prefill_decode", "models": []any{}, "busy": false, "sequence": s.orders, "waiting": 0, "running": 0,
			"kv_used": 0, "kv_total": 100000, "handles": 0, "pace": 1, "born": s.born, "layers": s.layers, "kind": s.kind, "stalled": []any{},
		})
	case "/order":
		s.fleet.rec.printf("%s gets an order", s.id)
		reply(w, http.StatusOK, struct{}{})
	default:
		w.Header().Set("X-Rattantray-Request-Id", r.Header.Get("X-Rattantray-Request-Id"))
		s.handle(s, w, r)
	}
}

// plain answers a request after a time of work.
func plain(work time.Duration, size int) func(s *server, w http.ResponseWriter, r *http.Request) {
	return func(s *server, w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		id := r.Header.Get("X-Rattantray-Request-Id")
		s.fleet.rec.printf("%s runs %s %s", s.id, r.Method, id)
		time.Sleep(work)
		body := make([]byte, size)
		for i := range body {
			body[i] = byte('a' + i%26)
		}
		w.Header().Set(signature, "3e1b.07.5a2.600.0."+id)
		w.Header().Set("Content-Length", strconv.Itoa(size))
		w.WriteHeader(http.StatusOK)
		_, _ = w.Write(body)
	}
}

// stream answers with numbered events, each after a pause.
func stream(events int, pause time.Duration) func(s *server, w http.ResponseWriter, r *http.Request) {
	return func(s *server, w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		id := r.Header.Get("X-Rattantray-Request-Id")
		after, _ := strconv.Atoi(r.Header.Get("Last-Event-Id"))
		s.fleet.rec.printf("%s runs stream %s after %d", s.id, id, after)
		w.Header().Set(signature, "3e1b.07.5a2.600.0."+id)
		w.Header().Set("Content-Type", "text/event-stream")
		w.Header().Set("X-Rattantray-Weight-Versions", "1")
		w.WriteHeader(http.StatusOK)
		for n := after + 1; n <= events; n++ {
			select {
			case <-time.After(pause):
			case <-r.Context().Done():
				s.fleet.rec.printf("%s drops stream %s before event %d: its channel is closed", s.id, id, n)
				return
			}
			fmt.Fprintf(w, "id: %d\ndata: %s-%d\n\n", n, id, n)
			_ = http.NewResponseController(w).Flush()
		}
		s.fleet.rec.printf("%s has sent all of stream %s", s.id, id)
	}
}
