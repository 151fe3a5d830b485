package main

import (
	"encoding/json"
	"net"
	"net/http"
	"net/url"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// object is an object of the platform's store, as PROTOCOL.md spells it.
type object struct {
	Metadata struct {
		Name       string   `json:"name"`
		Revision   uint64   `json:"revision"`
		Created    uint64   `json:"created"`
		Finalizers []string `json:"finalizers"`
		Deleting   bool     `json:"deleting"`
	} `json:"metadata"`
	Specification json.RawMessage `json:"specification"`
	Status        json.RawMessage `json:"status"`
}

type event struct {
	Object  object `json:"object"`
	Deleted bool   `json:"deleted"`

	kind     string
	revision uint64
}

// store is a stand-in for the platform's store.
type store struct {
	address string

	mu       sync.Mutex
	revision uint64
	kinds    map[string]map[string]object
	history  []event
	changed  chan struct{}
	// cut is closed to cut off the watches of servers that are waiting.
	cut chan struct{}
}

func newStore() (*store, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	s := &store{
		address: l.Addr().String(), revision: 1, kinds: map[string]map[string]object{}, changed: make(chan struct{}), cut: make(chan struct{}),
	}
	go func() { _ = http.Serve(l, s) }()
	return s, nil
}

// Put writes an object as the operator or a replica does; its return is the acknowledgement.
func (s *store) Put(kind, name string, specification any) {
	data, err := json.Marshal(specification)
	if err != nil {
		panic(err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	o := s.kinds[kind][name]
	o.Metadata.Name, o.Specification = name, data
	s.put(kind, o)
}

// Remove removes an object as the platform does; its return is the acknowledgement.
func (s *store) Remove(kind, name string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.remove(kind, name)
}

func (s *store) put(kind string, o object) object {
	s.revision++
	o.Metadata.Revision = s.revision
	if o.Metadata.Created == 0 {
		o.Metadata.Created = s.revision
	}
	if o.Metadata.Finalizers == nil {
		o.Metadata.Finalizers = []string{}
	}
	if s.kinds[kind] == nil {
		s.kinds[kind] = map[string]object{}
	}
	s.kinds[kind][o.Metadata.Name] = o
	s.record(event{Object: o, kind: kind, revision: s.revision})
	return o
}

func (s *store) remove(kind, name string) {
	o, ok := s.kinds[kind][name]
	if !ok {
		return
	}
	s.revision++
	o.Metadata.Revision = s.revision
	delete(s.kinds[kind], name)
	s.record(event{Object: o, Deleted: true, kind: kind, revision: s.revision})
}

func (s *store) record(e event) {
	s.history = append(s.history, e)
	close(s.changed)
	s.changed = make(chan struct{})
}

// CutWatches cuts off the watches of servers that are waiting.
func (s *store) CutWatches() {
	s.mu.Lock()
	defer s.mu.Unlock()
	close(s.cut)
	s.cut = make(chan struct{})
}

// ServeHTTP answers the calls of the daemons.
func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	// An answer takes 4 ms.
	time.Sleep(4 * time.Millisecond)
	parts := strings.Split(strings.Trim(r.URL.EscapedPath(), "/"), "/")
	for i := range parts {
		parts[i], _ = url.PathUnescape(parts[i])
	}
	if len(parts) < 2 || parts[0] != "objects" {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	kind, name := parts[1], ""
	if len(parts) > 2 {
		name = parts[2]
	}
	switch {
	case r.Method == http.MethodGet && r.URL.Query().Has("watch"):
		s.watch(w, r, kind)
	case r.Method == http.MethodGet && name == "":
		s.list(w, kind, r.URL.Query().Get("after"))
	case r.Method == http.MethodGet:
		s.mu.Lock()
		o, ok := s.kinds[kind][name]
		s.mu.Unlock()
		if !ok {
			w.WriteHeader(http.StatusNotFound)
			return
		}
		writeJSON(w, http.StatusOK, o)
	default:
		s.write(w, r, kind, name)
	}
}

func (s *store) list(w http.ResponseWriter, kind, after string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	names := []string{}
	for name := range s.kinds[kind] {
		if name > after {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	items := []object{}
	for _, name := range names {
		items = append(items, s.kinds[kind][name])
	}
	writeJSON(w, http.StatusOK, map[string]any{"items": items, "has_more": false, "at": s.revision})
}

func (s *store) watch(w http.ResponseWriter, r *http.Request, kind string) {
	after, _ := strconv.ParseUint(r.URL.Query().Get("watch"), 10, 64)
	wait, _ := strconv.Atoi(r.URL.Query().Get("wait_ms"))
	deadline := time.After(time.Duration(min(wait, 30_000)) * time.Millisecond)
	for {
		s.mu.Lock()
		changed, cut, at := s.changed, s.cut, s.revision
		events := []event{}
		for _, e := range s.history {
			if e.kind == kind && e.revision > after {
				events = append(events, e)
			}
		}
		s.mu.Unlock()
		if len(events) > 0 {
			writeJSON(w, http.StatusOK, map[string]any{"events": events, "at": at})
			return
		}
		if kind != "servers" {
			cut = nil
		}
		select {
		case <-changed:
		case <-cut:
			// The channel closes without an answer.
			panic(http.ErrAbortHandler)
		case <-r.Context().Done():
			return
		case <-deadline:
			writeJSON(w, http.StatusOK, map[string]any{"events": events, "at": at})
			return
		}
	}
}

func (s *store) write(w http.ResponseWriter, r *http.Request, kind, name string) {
	var o object
	if r.Method != http.MethodDelete {
		if err := json.NewDecoder(r.Body).Decode(&o); err != nil {
			w.WriteHeader(http.StatusBadRequest)
			return
		}
	}
	if name == "" {
		name = o.Metadata.Name
	}
	expected := o.Metadata.Revision
	if r.Method == http.MethodDelete {
		expected, _ = strconv.ParseUint(r.URL.Query().Get("revision"), 10, 64)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	stored, ok := s.kinds[kind][name]
	switch {
	case r.Method == http.MethodPost && ok, r.Method != http.MethodPost && ok && expected != 0 && expected != stored.Metadata.Revision:
		writeJSON(w, http.StatusConflict, stored)
	case r.Method != http.MethodPost && !ok:
		w.WriteHeader(http.StatusNotFound)
	case r.Method == http.MethodDelete:
		s.remove(kind, name)
		writeJSON(w, http.StatusOK, stored)
	default:
		stored.Metadata.Name, stored.Specification = name, o.Specification
		writeJSON(w, http.StatusOK, s.put(kind, stored))
	}
}

func writeJSON(w http.ResponseWriter, status int, body any) {
	data, err := json.Marshal(body)
	if err != nil {
		panic(err)
	}
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Content-Length", strconv.Itoa(len(data)))
	w.WriteHeader(status)
	_, _ = w.Write(data)
}
