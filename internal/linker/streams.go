package linker

import (
	"sync"
	"time"

	"github.com/hashicorp/yamux"
)

// pastDeadline is a deadline in the past; it ends reads and writes immediately.
var pastDeadline = time.Unix(1, 0)

// streamSet unblocks the reads and writes of a connection's streams as soon as the connection ends.
//
// A yamux session notifies its streams that it ends some steps before it closes them, and their readers spin in between. On a
// machine short of processors, the spinning starves the goroutine that would close them.
type streamSet struct {
	mu      sync.Mutex
	ended   bool
	streams map[*yamux.Stream]struct{}
}

// add tracks a stream until it is removed.
func (s *streamSet) add(stream *yamux.Stream) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.ended {
		_ = stream.SetDeadline(pastDeadline)
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

// setReadDeadline sets the read deadline of a stream, unless the connection has ended.
func (s *streamSet) setReadDeadline(stream *yamux.Stream, deadline time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.ended {
		_ = stream.SetReadDeadline(deadline)
	}
}

// expireAll expires the deadlines of all streams.
func (s *streamSet) expireAll() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.ended = true
	for stream := range s.streams {
		_ = stream.SetDeadline(pastDeadline)
	}
	s.streams = nil
}
