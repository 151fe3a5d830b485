package main

import (
	"encoding/json"
	"net"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

// object is an object of the store.
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

type change struct {
	kind    string
	Object  object `json:"object"`
	Deleted bool   `json:"deleted"`
}

// store is a stand-in for the platform's store.
type store struct {
	Address string

	mu       sync.Mutex
	revision uint64
	kinds    map[string]map[string]object
	changes  []change
	updated  chan struct{}
	// before, if set, may answer a call in place of the store; it returns true if it did.
	before func(w http.ResponseWriter, r *http.Request) bool
}

func newStore(ip string) (*store, error) {
	l, err := net.Listen("tcp", ip+":0")
	if err != nil {
		return nil, err
	}
	s := &store{Address: l.Addr().String(), revision: 100, kinds: map[string]map[string]object{}, updated: make(chan struct{})}
	go func() { _ = http.Serve(l, s) }()
	return s, nil
}

// put writes an object as the operator or a server does, and returns the revision.
func (s *store) put(kind, name string, specification any) uint64 {
	data, _ := json.Marshal(specification)
	return s.putRaw(kind, name, data)
}

func (s *store) putRaw(kind, name string, data []byte) uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	o := s.kinds[kind][name]
	o.Metadata.Name, o.Specification = name, data
	s.write(kind, &o, false)
	return s.revision
}

// putEntry writes the entry of a server. The entry changes when more than its sequence does.
func (s *store) putEntry(id string, entry map[string]any) {
	data, _ := json.Marshal(entry)
	s.mu.Lock()
	defer s.mu.Unlock()
	o, ok := s.kinds["servers"][id]
	if ok {
		var old map[string]any
		_ = json.Unmarshal(o.Specification, &old)
		old["sequence"] = entry["sequence"]
		merged, _ := json.Marshal(old)
		if same, _ := json.Marshal(entry); string(merged) == string(same) {
			o.Specification = data
			s.kinds["servers"][id] = o
			return
		}
	}
	o.Metadata.Name, o.Specification = id, data
	s.write("servers", &o, false)
}

func (s *store) remove(kind, name string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if o, ok := s.kinds[kind][name]; ok {
		s.write(kind, &o, true)
	}
}

// write records a change; the caller holds mu.
func (s *store) write(kind string, o *object, deleted bool) {
	s.revision++
	if s.kinds[kind] == nil {
		s.kinds[kind] = map[string]object{}
	}
	o.Metadata.Revision = s.revision
	if o.Metadata.Created == 0 {
		o.Metadata.Created = s.revision
	}
	if o.Metadata.Finalizers == nil {
		o.Metadata.Finalizers = []string{}
	}
	if deleted {
		delete(s.kinds[kind], o.Metadata.Name)
	} else {
		s.kinds[kind][o.Metadata.Name] = *o
	}
	s.changes = append(s.changes, change{kind, *o, deleted})
	close(s.updated)
	s.updated = make(chan struct{})
}

func reply(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body)
}

func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if s.before != nil && s.before(w, r) {
		return
	}
	parts := strings.Split(strings.TrimPrefix(r.URL.Path, "/objects/"), "/")
	kind, name := parts[0], ""
	if len(parts) > 1 {
		name = parts[1]
	}
	switch {
	case r.Method == http.MethodGet && name == "" && r.URL.Query().Has("watch"):
		s.watch(w, r, kind)
	case r.Method == http.MethodGet:
		s.get(w, r, kind, name)
	default:
		s.change(w, r, kind, name)
	}
}

func (s *store) get(w http.ResponseWriter, r *http.Request, kind, name string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if name != "" {
		if o, ok := s.kinds[kind][name]; ok {
			reply(w, http.StatusOK, o)
		} else {
			reply(w, http.StatusNotFound, struct{}{})
		}
		return
	}
	items := []object{}
	for n, o := range s.kinds[kind] {
		if n > r.URL.Query().Get("after") {
			items = append(items, o)
		}
	}
	sort.Slice(items, func(a, b int) bool { return items[a].Metadata.Name < items[b].Metadata.Name })
	more := len(items) > 500
	if more {
		items = items[:500]
	}
	reply(w, http.StatusOK, map[string]any{"items": items, "has_more": more, "at": s.revision})
}

func (s *store) watch(w http.ResponseWriter, r *http.Request, kind string) {
	from, _ := strconv.ParseUint(r.URL.Query().Get("watch"), 10, 64)
	ms, _ := strconv.Atoi(r.URL.Query().Get("wait_ms"))
	end := time.After(time.Duration(ms) * time.Millisecond)
	for {
		s.mu.Lock()
		events := []change{}
		for i := len(s.changes) - 1; i >= 0 && s.changes[i].Object.Metadata.Revision > from; i-- {
			if s.changes[i].kind == kind {
				events = append([]change{s.changes[i]}, events...)
			}
		}
		at, updated := s.revision, s.updated
		s.mu.Unlock()
		if len(events) > 0 {
			reply(w, http.StatusOK, map[string]any{"events": events, "at": at})
			return
		}
		select {
		case <-updated:
		case <-end:
			reply(w, http.StatusOK, map[string]any{"events": events, "at": at})
			return
		case <-r.Context().Done():
			return
		}
	}
}

func (s *store) change(w http.ResponseWriter, r *http.Request, kind, name string) {
	var sent object
	if r.Method != http.MethodDelete {
		if json.NewDecoder(r.Body).Decode(&sent) != nil {
			reply(w, http.StatusBadRequest, struct{}{})
			return
		}
	}
	expected := sent.Metadata.Revision
	if v := r.URL.Query().Get("revision"); v != "" {
		expected, _ = strconv.ParseUint(v, 10, 64)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if r.Method == http.MethodPost {
		name = sent.Metadata.Name
	}
	o, ok := s.kinds[kind][name]
	switch {
	case r.Method == http.MethodPost && ok:
		reply(w, http.StatusConflict, o)
		return
	case r.Method != http.MethodPost && !ok:
		reply(w, http.StatusNotFound, struct{}{})
		return
	case r.Method != http.MethodPost && expected != 0 && expected != o.Metadata.Revision:
		reply(w, http.StatusConflict, o)
		return
	}
	o.Metadata.Name = name
	if r.Method != http.MethodDelete {
		o.Specification = sent.Specification
	}
	s.write(kind, &o, r.Method == http.MethodDelete)
	reply(w, http.StatusOK, o)
}
