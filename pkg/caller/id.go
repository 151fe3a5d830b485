package caller

import (
	"encoding/binary"
	"sync"
	"time"

	"github.com/google/uuid"
)

const (
	// maxUnsentIDs is the maximum number of new ids that a client keeps until they are sent.
	maxUnsentIDs = 1 << 14
	// uuidTimeShift is the bit offset of the time in the first 8 bytes of a UUID of version 7, uuidVersion that version.
	uuidTimeShift = 16
	uuidVersion   = 7
)

// NewRequestID returns a new request id, a UUID of version 7.
//
// The first Send with it through this client promises the entry that the id has not run before, so that a refusal can state
// not-run even if the journal was not queried. No one else may send the id before that.
func (c *Client) NewRequestID() string {
	id := newID(c.Clock.Now())
	c.unsent.add(id)
	return id
}

func newID(now time.Time) string {
	id := uuid.New()
	rest := binary.BigEndian.Uint64(id[:8]) & (1<<uuidTimeShift - 1)
	binary.BigEndian.PutUint64(id[:8], uint64(now.UnixMilli())<<uuidTimeShift|rest)
	id[6] = uuidVersion<<4 | id[6]&0xf
	return id.String()
}

// unsentIDs holds the ids that a client generated and has not sent.
type unsentIDs struct {
	mu  sync.Mutex
	ids map[string]bool
	// order lists the ids from the oldest; the oldest is dropped first and is then sent without the promise.
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

// consume reports whether the id was generated here and not sent yet, and removes it.
func (u *unsentIDs) consume(id string) bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	unsent := u.ids[id]
	delete(u.ids, id)
	return unsent
}
