package relayer

import (
	"bytes"
	"strconv"
)

// maxEvent bounds one event of a stream, and what comes between two that have an id, in bytes: some hundred times the events of the
// deployments. Bytes that are no events may come without end.
const maxEvent = 64 << 10

// events cuts a stream into whole events and drops those that were delivered already.
type events struct {
	// last is the id of the last event that was taken; resumed streams start behind it.
	last    string
	resumed bool
	// taken is how many events with an id were taken.
	taken int
	// idle is how many bytes came since the last event with an id.
	idle    int
	pending []byte
}

// take adds bytes of the stream and returns the whole events that are to be delivered now; false where events are missing.
func (e *events) take(data []byte) ([]byte, bool) {
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

// accept decides on one event: whether it is delivered, and whether the stream is still whole.
func (e *events) accept(event []byte) (deliver, whole bool) {
	id, ok := eventID(event)
	if !ok {
		e.idle += len(event)
		return true, true
	}
	e.idle = 0
	last, okLast := number(e.last)
	now, okNow := number(id)
	if okLast && okNow && (e.resumed || e.taken > 0) {
		if now <= last {
			return false, e.resumed
		}
		if now != last+1 {
			return false, false
		}
	}
	e.last = id
	e.taken++
	return true, true
}

// cut drops the half event at the end of a stream that broke, and makes ready for its continuation.
func (e *events) cut() {
	e.pending = e.pending[:0]
	e.idle = 0
	e.resumed = true
}

// half tells whether the stream stands in the middle of an event.
func (e *events) half() bool { return len(bytes.TrimSpace(e.pending)) > 0 }

func number(id string) (uint64, bool) {
	n, err := strconv.ParseUint(id, 10, 64)
	return n, err == nil
}

// eventEnd returns the length of the first whole event with the blank line that ends it, or -1.
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
