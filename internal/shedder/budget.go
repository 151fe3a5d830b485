package shedder

import (
	"sync"
	"time"
)

const (
	// StallTime is how long an unfinished body makes no progress before it may be given up for others; clients whose link is harmed
	// pause for less.
	StallTime = 500 * time.Millisecond
	// smallBytes is the size up to which a body may use all of the budget; larger ones leave smallShare of it to the others.
	smallBytes = 64 << 10
	smallShare = 4
	// minProgress and progressShare are what a body must advance by to count as making progress: bytes, and a share of itself.
	minProgress   = 1 << 10
	progressShare = 16
)

// Verdict is the answer to a body that grows.
type Verdict int

// Verdicts.
const (
	// Granted means that the body may grow.
	Granted Verdict = iota
	// Wait means that others were given up, and that the body may grow once their memory is free.
	Wait
	// Refused means that the body is given up.
	Refused
)

// Budget shares memory among the bodies of requests. It is safe for concurrent use; set its exported fields before use.
type Budget struct {
	// Limit is in bytes; 0 means none.
	Limit int64
	// OnShed, if set, is called with the bytes of each body that is given up.
	OnShed func(held int64)

	mu   sync.Mutex
	used int64
	// shedding is the part of used that was given up and is not free yet.
	shedding int64
	bodies   map[*Body]struct{}
	// held is what each workspace holds.
	held map[string]int64
	// freed is closed when memory becomes free.
	freed chan struct{}
}

// Body is the memory of one request.
type Body struct {
	budget    *Budget
	workspace string
	// cut interrupts reading the body; it must not block.
	cut func()

	held     int64
	next     int64
	progress time.Time
	finished bool
	shed     bool
	released bool
}

// Begin adds a body that holds nothing; cut is called at most once, if the body is given up before Finish.
func (b *Budget) Begin(workspace string, cut func(), now time.Time) *Body {
	body := &Body{budget: b, workspace: workspace, cut: cut, progress: now, next: minProgress}
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.bodies == nil {
		b.bodies, b.held, b.freed = map[*Body]struct{}{}, map[string]int64{}, make(chan struct{})
	}
	b.bodies[body] = struct{}{}
	return body
}

// Used returns the bytes that all bodies hold.
func (b *Budget) Used() int64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.used
}

// Advance records that a body has been read up to a number of bytes. A few bytes at a time are no progress.
func (body *Body) Advance(read int64, now time.Time) {
	if read < body.next {
		return
	}
	body.next = read + max(minProgress, read/progressShare)
	body.budget.mu.Lock()
	defer body.budget.mu.Unlock()
	body.progress = now
}

// IsShed reports whether the body was given up.
func (body *Body) IsShed() bool {
	body.budget.mu.Lock()
	defer body.budget.mu.Unlock()
	return body.shed
}

// Freed returns a channel that is closed when memory becomes free.
func (body *Body) Freed() <-chan struct{} {
	body.budget.mu.Lock()
	defer body.budget.mu.Unlock()
	return body.budget.freed
}

// Grow asks for more bytes. If they are not there, stalled bodies are given up, the one that holds most for longest first; then those
// of the workspace that holds most, for a workspace with less than its share.
func (body *Body) Grow(bytes int64, now time.Time) Verdict {
	b := body.budget
	b.mu.Lock()
	defer b.mu.Unlock()
	limit := b.Limit
	if body.held+bytes > smallBytes {
		limit -= limit / smallShare
	}
	if body.shed {
		return Refused
	}
	if b.Limit <= 0 || b.used+bytes <= limit {
		b.add(body, bytes)
		return Granted
	}
	short := b.used + bytes - limit - b.shedding
	for short > 0 {
		victim := b.victim(body, bytes, now)
		if victim == nil {
			b.shed(body)
			return Refused
		}
		b.shed(victim)
		short -= victim.held
	}
	return Wait
}

// victim returns the body to give up for another, or nil.
func (b *Budget) victim(taker *Body, bytes int64, now time.Time) *Body {
	var stalled, heaviest *Body
	var most float64
	for body := range b.bodies {
		if body == taker || body.finished || body.shed || body.held == 0 {
			continue
		}
		if idle := now.Sub(body.progress); idle >= StallTime {
			if weight := float64(body.held) * idle.Seconds(); weight > most {
				stalled, most = body, weight
			}
		}
		if heaviest == nil || b.holdsMore(body, heaviest) {
			heaviest = body
		}
	}
	switch {
	case stalled != nil:
		return stalled
	case heaviest != nil && b.held[heaviest.workspace]-heaviest.held > b.held[taker.workspace]+bytes:
		return heaviest
	}
	return nil
}

// holdsMore reports whether a body's workspace holds more than that of another, or the body itself if it is the same.
func (b *Budget) holdsMore(body, than *Body) bool {
	if body.workspace != than.workspace && b.held[body.workspace] != b.held[than.workspace] {
		return b.held[body.workspace] > b.held[than.workspace]
	}
	return body.held > than.held
}

func (b *Budget) shed(body *Body) {
	body.shed = true
	b.shedding += body.held
	body.cut()
	if b.OnShed != nil {
		b.OnShed(body.held)
	}
}

func (b *Budget) add(body *Body, bytes int64) {
	b.used += bytes
	body.held += bytes
	if body.shed {
		b.shedding += bytes
	}
	if b.held[body.workspace] += bytes; b.held[body.workspace] == 0 {
		delete(b.held, body.workspace)
	}
	if bytes < 0 {
		close(b.freed)
		b.freed = make(chan struct{})
	}
}

// Shrink gives bytes back.
func (body *Body) Shrink(bytes int64) {
	body.budget.mu.Lock()
	defer body.budget.mu.Unlock()
	body.budget.add(body, -bytes)
}

// Finish marks the body as read to its end: it is not given up from now on. It returns false if it was given up before.
func (body *Body) Finish() bool {
	body.budget.mu.Lock()
	defer body.budget.mu.Unlock()
	body.finished = !body.shed
	return body.finished
}

// Release gives all memory of the body back.
func (body *Body) Release() {
	b := body.budget
	b.mu.Lock()
	defer b.mu.Unlock()
	if body.released {
		return
	}
	body.released = true
	delete(b.bodies, body)
	b.add(body, -body.held)
}
