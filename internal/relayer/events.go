package relayer

import (
	"bytes"
	"strconv"
)

// maxEvent bounds one event of a stream, and the bytes between two events that have an id: some hundred times the events
// of the deployments. Bytes that are no events may come without end.
const maxEvent = 64 << 10

// events splits a stream into complete events and drops those that were already delivered.
type events struct {
	// last is the id of the last accepted event; a resumed stream continues after it.
	last    string
	resumed bool
	// acceptedCount is the number of accepted events that have an id.
	acceptedCount int
	// idle is the number of bytes received since the last event with an id.
	idle    int
	pending []byte
	// repeatedCount is the number of events that were delivered before.
	repeatedCount int
	// repeating is true once the current send had an event with an id, and continued once it had a new one.
	repeating bool
	continued bool
}

// parse adds bytes of the stream and returns the complete events to deliver now, and false if events are missing or too
// long.
func (e *events) parse(data []byte) ([]byte, bool) {
	e.pending = append(e.pending, data...)
	end := 0
	var out []byte
	for {
		n := eventEnd(e.pending[end:])
		if n < 0 {
			break
		}
		event := e.pending[end : end+n]
		end += n
		deliver, ok := e.accept(event)
		if !ok {
			return out, false
		}
		if deliver {
			out = append(out, event...)
		}
	}
	e.pending = append(e.pending[:0], e.pending[end:]...)
	return out, len(e.pending) <= maxEvent && e.idle <= maxEvent
}

// accept decides whether an event is delivered, and whether the stream is still intact.
func (e *events) accept(event []byte) (deliver, intact bool) {
	if !isEvent(event) {
		return false, false
	}
	id, ok := eventID(event)
	if !ok {
		e.idle += len(event)
		if e.resumed && !e.continued && !isComment(event) {
			// It is delivered already, or it is an error in place of a continuation.
			return false, e.repeating || isRetry(event)
		}
		return true, true
	}
	e.idle, e.repeating = 0, true
	previous, okLast := parseNumber(e.last)
	current, okNow := parseNumber(id)
	if okLast && (e.resumed || e.acceptedCount > 0) {
		switch {
		case !okNow:
			return false, false
		case current <= previous:
			e.repeatedCount++
			return false, e.resumed
		case current != previous+1:
			return false, false
		}
	}
	e.last, e.continued = id, true
	e.acceptedCount++
	return true, true
}

// prepareResume drops the incomplete event of a stream that broke and prepares for its continuation.
func (e *events) prepareResume() {
	e.pending = e.pending[:0]
	e.idle = 0
	e.resumed, e.repeating, e.continued = true, false, false
}

// inEvent reports whether the stream has ended in the middle of an event.
func (e *events) inEvent() bool { return len(bytes.TrimSpace(e.pending)) > 0 }

func parseNumber(id string) (uint64, bool) {
	n, err := strconv.ParseUint(id, 10, 64)
	return n, err == nil
}

// eventEnd returns the length of the first complete event with the blank line that ends it, or -1.
func eventEnd(data []byte) int {
	for at := 0; at < len(data); {
		i := bytes.IndexByte(data[at:], '\n')
		if i < 0 {
			return -1
		}
		line := bytes.TrimSuffix(data[at:at+i], []byte("\r"))
		at += i + 1
		if len(line) == 0 {
			return at
		}
	}
	return -1
}

// eventID returns the id field of an event.
func eventID(event []byte) (string, bool) {
	for line := range bytes.Lines(event) {
		if value, ok := bytes.CutPrefix(line, []byte("id:")); ok {
			return string(bytes.TrimSpace(value)), true
		}
	}
	return "", false
}

// isEvent reports whether all lines of an event are comments or fields with names in lower case. Heads of HTTP answers and error pages
// are not.
func isEvent(event []byte) bool {
	for line := range bytes.Lines(event) {
		name, _, _ := bytes.Cut(bytes.TrimRight(line, "\r\n"), []byte(":"))
		for _, c := range name {
			if (c < 'a' || c > 'z') && c != '-' && c != '_' {
				return false
			}
		}
	}
	return true
}

// isRetry reports whether an event consists of comments and the time after which clients reconnect, which targets send at the
// beginning of any stream.
func isRetry(event []byte) bool {
	for line := range bytes.Lines(event) {
		if len(bytes.TrimRight(line, "\r\n")) > 0 && line[0] != ':' && !bytes.HasPrefix(line, []byte("retry:")) {
			return false
		}
	}
	return true
}

// isComment reports whether an event consists of comments only.
func isComment(event []byte) bool {
	for line := range bytes.Lines(event) {
		if len(bytes.TrimRight(line, "\r\n")) > 0 && line[0] != ':' {
			return false
		}
	}
	return true
}
