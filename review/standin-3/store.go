package main

import (
	"encoding/json"
	"io"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

// object is an object of the store, as PROTOCOL.md spells it.
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
	Object   object `json:"object"`
	Deleted  bool   `json:"deleted"`
	kind     string
	revision uint64
}

// store is a sound store: linearizable, with a complete history.
type store struct {
	mu       sync.Mutex
	revision uint64
	kinds    map[string]map[string]object
	history  []event
	changed  chan struct{}
}

func newStore() *store {
	return &store{revision: 10, kinds: map[string]map[string]object{}, changed: make(chan struct{})}
}

func (s *store) record(kind string, o object, deleted bool) {
	s.history = append(s.history, event{Object: o, Deleted: deleted, kind: kind, revision: s.revision})
	close(s.changed)
	s.changed = make(chan struct{})
}

// put writes an object; the caller holds mu. A write that changes nothing does not raise the revision.
func (s *store) put(kind, name string, spec json.RawMessage, finalizers []string) object {
	if s.kinds[kind] == nil {
		s.kinds[kind] = map[string]object{}
	}
	o, ok := s.kinds[kind][name]
	if ok && string(o.Specification) == string(spec) {
		return o
	}
	s.revision++
	if !ok {
		o.Metadata.Name, o.Metadata.Created = name, s.revision
		o.Status = json.RawMessage("null")
	}
	if finalizers == nil {
		finalizers = []string{}
	}
	o.Metadata.Finalizers, o.Metadata.Revision, o.Specification = finalizers, s.revision, spec
	s.kinds[kind][name] = o
	s.record(kind, o, false)
	return o
}

// Set writes an object as the operator, a replica or another writer does.
func (s *store) Set(kind, name string, spec any) {
	data, err := json.Marshal(spec)
	if err != nil {
		panic(err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.put(kind, name, data, nil)
}

// Remove removes an object.
func (s *store) Remove(kind, name string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.remove(kind, name)
}

func (s *store) remove(kind, name string) {
	o, ok := s.kinds[kind][name]
	if !ok {
		return
	}
	s.revision++
	delete(s.kinds[kind], name)
	s.record(kind, o, true)
}

func answer(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(v)
}

func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	parts := strings.Split(strings.TrimPrefix(r.URL.Path, "/objects/"), "/")
	kind := parts[0]
	body, _ := io.ReadAll(r.Body)
	q := r.URL.Query()
	switch {
	case r.Method == http.MethodGet && len(parts) == 1 && q.Has("watch"):
		s.watch(w, r, kind)
	case r.Method == http.MethodGet && len(parts) == 1:
		s.list(w, kind, q.Get("after"))
	case r.Method == http.MethodGet:
		s.mu.Lock()
		o, ok := s.kinds[kind][parts[1]]
		s.mu.Unlock()
		if !ok {
			answer(w, 404, struct{}{})
			return
		}
		answer(w, 200, o)
	case r.Method == http.MethodPost || r.Method == http.MethodPut:
		s.write(w, r.Method, kind, parts, body)
	case r.Method == http.MethodDelete && len(parts) == 2:
		s.mu.Lock()
		defer s.mu.Unlock()
		o, ok := s.kinds[kind][parts[1]]
		want, _ := strconv.ParseUint(q.Get("revision"), 10, 64)
		switch {
		case !ok:
			answer(w, 404, struct{}{})
		case want != 0 && want != o.Metadata.Revision:
			answer(w, 409, o)
		default:
			s.remove(kind, parts[1])
			answer(w, 200, o)
		}
	default:
		answer(w, 400, struct{}{})
	}
}

func (s *store) write(w http.ResponseWriter, method, kind string, parts []string, body []byte) {
	var m object
	if json.Unmarshal(body, &m) != nil {
		answer(w, 400, struct{}{})
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	name := m.Metadata.Name
	if method == http.MethodPut {
		name = parts[1]
	}
	o, ok := s.kinds[kind][name]
	switch {
	case method == http.MethodPost && ok:
		answer(w, 409, o)
	case method == http.MethodPut && !ok:
		answer(w, 404, struct{}{})
	case m.Metadata.Revision != 0 && m.Metadata.Revision != o.Metadata.Revision:
		answer(w, 409, o)
	case method == http.MethodPost:
		answer(w, 201, s.put(kind, name, m.Specification, m.Metadata.Finalizers))
	default:
		answer(w, 200, s.put(kind, name, m.Specification, m.Metadata.Finalizers))
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
	sort.Strings(names)
	more := len(names) > 500
	if more {
		names = names[:500]
	}
	items := []object{}
	for _, n := range names {
		items = append(items, s.kinds[kind][n])
	}
	answer(w, 200, map[string]any{"items": items, "has_more": more, "at": s.revision})
}

func (s *store) watch(w http.ResponseWriter, r *http.Request, kind string) {
	from, _ := strconv.ParseUint(r.URL.Query().Get("watch"), 10, 64)
	wait, _ := strconv.Atoi(r.URL.Query().Get("wait_ms"))
	expired := time.After(time.Duration(min(wait, 30000)) * time.Millisecond)
	for {
		s.mu.Lock()
		events := []event{}
		for _, e := range s.history {
			if e.kind == kind && e.revision > from {
				events = append(events, e)
			}
		}
		at, changed := s.revision, s.changed
		s.mu.Unlock()
		if len(events) > 0 {
			answer(w, 200, map[string]any{"events": events, "at": at})
			return
		}
		select {
		case <-changed:
		case <-expired:
			answer(w, 200, map[string]any{"events": events, "at": at})
			return
		case <-r.Context().Done():
			return
		}
	}
}
