package linker

import (
	"sync"
	"time"

	"github.com/hashicorp/yamux"
)

// longAgo is a deadline that has passed.
var longAgo = time.Unix(1, 0)

// streamSet ends the waits of a connection's streams as soon as the connection ends.
//
// A yamux session closes its streams only some steps after it has told them that it ends, and their readers spin in
// between. Where processors are scarce, the spinning keeps the goroutine that would close them from its turn.
type streamSet struct {
	mu      sync.Mutex
	ended   bool
	streams map[*yamux.Stream]struct{}
}

// add takes in a stream until it is removed.
func (s *streamSet) add(stream *yamux.Stream) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.ended {
		_ = stream.SetDeadline(longAgo)
		return
	}
	if s.streams == nil {
		s.streams = map[*yamux.Stream]struct{}{}
	}
	s.streams[stream] = struct{}{}
}

func (s *streamSet) remove(stream *yamux.Stream) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.streams, stream)
}

// readUntil sets the time up to which a stream waits for its caller, unless the connection has ended.
func (s *streamSet) readUntil(stream *yamux.Stream, deadline time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.ended {
		_ = stream.SetReadDeadline(deadline)
	}
}

// end ends the waits of all streams.
func (s *streamSet) end() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.ended = true
	for stream := range s.streams {
		_ = stream.SetDeadline(longAgo)
	}
	s.streams = nil
}
