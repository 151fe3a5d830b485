package main

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// run is one run of a request at a replica.
type run struct {
	id, replica, service, tenant, path string
	began, ended                       time.Time
	// whole is true once the answer was handed over.
	whole bool
}

// ledger keeps the runs.
type ledger struct {
	mu   sync.Mutex
	runs []*run
}

func (l *ledger) begin(r *run) *run {
	l.mu.Lock()
	defer l.mu.Unlock()
	r.began = time.Now()
	l.runs = append(l.runs, r)
	return r
}

func (l *ledger) end(r *run, whole bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	r.ended, r.whole = time.Now(), whole
}

// byID returns copies of the runs by the id of their request.
func (l *ledger) byID() map[string][]run {
	l.mu.Lock()
	defer l.mu.Unlock()
	out := map[string][]run{}
	for _, r := range l.runs {
		out[r.id] = append(out[r.id], *r)
	}
	return out
}

// replica is a stand-in for a replica of a plain service.
type replica struct {
	id, service, zone string
	slots             int
	work              time.Duration
	store             *store
	ledger            *ledger

	address string
	// advertised is the address in the store's entry.
	advertised string
	server     *http.Server
	places     chan struct{}
	// stop is closed when the process of the replica ends.
	stop chan struct{}
}

func (p *replica) start() error {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return err
	}
	p.address, p.places, p.stop = l.Addr().String(), make(chan struct{}, p.slots), make(chan struct{})
	if p.advertised == "" {
		p.advertised = p.address
	}
	p.server = &http.Server{Handler: p, IdleTimeout: 10 * time.Second}
	go func() { _ = p.server.Serve(l) }()
	return nil
}

func (p *replica) entry(state string) map[string]any {
	return map[string]any{
		"service": p.service, "address": p.advertised, "zone": p.zone, "version": "v1", "slots": p.slots, "state": state,
		"cold_remaining_ms": 0, "sequence": 1, "born": time.Now().UnixMilli(),
	}
}

func (p *replica) register() { p.store.Put("servers", p.id, p.entry("ready")) }

// exit ends the replica: what is in progress there breaks off.
func (p *replica) exit() {
	close(p.stop)
	_ = p.server.Close()
}

// ServeHTTP serves requests, health probes and reports.
func (p *replica) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	h := w.Header()
	h.Set("X-Rattantray-Instance-Id", p.id)
	if want := r.Header.Get("X-Rattantray-Expected-Instance"); want != "" && want != p.id {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	switch r.URL.Path {
	case "/health":
		w.WriteHeader(http.StatusOK)
		return
	case "/report":
		writeJSON(w, http.StatusOK, map[string]any{"sequence": 0})
		return
	}
	id := r.Header.Get("X-Rattantray-Request-Id")
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	h.Set("X-Rattantray-Request-Id", id)
	if !p.enter(r.Context()) {
		h.Set("X-Rattantray-Not-Executed", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	defer func() { <-p.places }()
	this := p.ledger.begin(&run{id: id, replica: p.id, service: p.service, tenant: r.Header.Get("X-Rattantray-Tenant"), path: r.URL.RequestURI()})
	select {
	case <-time.After(p.work):
	case <-r.Context().Done():
		p.ledger.end(this, false)
		return
	case <-p.stop:
		p.ledger.end(this, false)
		panic(http.ErrAbortHandler)
	}
	answer := fmt.Sprintf("%s %s %d bytes from %s\n", r.Method, id, len(body), p.id)
	sum := sha256.Sum256([]byte(answer))
	h.Set("X-Rattantray-Response-Signature", hex.EncodeToString(sum[:]))
	h.Set("Content-Type", "text/plain")
	h.Set("Content-Length", strconv.Itoa(len(answer)))
	w.WriteHeader(http.StatusOK)
	_, err = io.WriteString(w, answer)
	p.ledger.end(this, err == nil)
}

// enter takes a place, and reports false if none is free within a short time.
func (p *replica) enter(ctx context.Context) bool {
	select {
	case p.places <- struct{}{}:
		return true
	case <-ctx.Done():
	case <-time.After(100 * time.Millisecond):
	}
	return false
}
