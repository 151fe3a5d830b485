package caller

import (
	"encoding/binary"
	"sync"
	"time"

	"github.com/google/uuid"
)

const (
	// maxUnsentIDs bounds the new ids that a client remembers until they are sent.
	maxUnsentIDs = 1 << 14
	// uuidTimeBits is the place of the time in the first 8 bytes of a UUID of version 7, and uuidTimed its version.
	uuidTimeBits = 16
	uuidTimed    = 7
)

// NewRequestID returns a new request id, a UUID of version 7.
//
// The first Send of it through this client promises the entry that no earlier sending has run, so that a refusal can say
// not-run also where the journal was not asked. Nobody else may send the id before that.
func (c *Client) NewRequestID() string {
	id := newID(c.Clock.Now())
	c.unsent.add(id)
	return id
}

func newID(now time.Time) string {
	id := uuid.New()
	rest := binary.BigEndian.Uint64(id[:8]) & (1<<uuidTimeBits - 1)
	binary.BigEndian.PutUint64(id[:8], uint64(now.UnixMilli())<<uuidTimeBits|rest)
	id[6] = uuidTimed<<4 | id[6]&0xf
	return id.String()
}

// unsentIDs remembers the ids that a client made and has not sent.
type unsentIDs struct {
	mu  sync.Mutex
	ids map[string]bool
	// order lists the ids by age; the oldest is forgotten first, and then goes without the promise.
	order []string
}

func (u *unsentIDs) add(id string) {
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.ids == nil {
		u.ids = map[string]bool{}
	}
	u.ids[id] = true
	u.order = append(u.order, id)
	if len(u.order) > maxUnsentIDs {
		delete(u.ids, u.order[0])
		u.order = u.order[1:]
	}
}

// take tells whether the id was not sent before, once.
func (u *unsentIDs) take(id string) bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	unsent := u.ids[id]
	delete(u.ids, id)
	return unsent
}
