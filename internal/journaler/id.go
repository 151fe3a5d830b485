package journaler

import (
	"crypto/sha256"
	"encoding/binary"
	"fmt"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/google/uuid"

	"github.com/rattantray/rattantray/internal/cataloger"
)

// Shards is the number of journal shards. It is part of the stored format and must never change.
const Shards = 32

const (
	uuidTextBytes = 36
	uuidTimed     = 7
	keyBytes      = 16
)

// Key identifies a request within its shard.
type Key [keyBytes]byte

// ShardOf returns the shard of a request id.
func ShardOf(workspace cataloger.Workspace, id string) uint32 {
	return uint32(xxhash.Sum64(idBytes(workspace, id)) % Shards)
}

func keyOf(workspace cataloger.Workspace, id string) Key {
	sum := sha256.Sum256(idBytes(workspace, id))
	return Key(sum[:keyBytes])
}

func idBytes(workspace cataloger.Workspace, id string) []byte {
	b := binary.AppendUvarint(nil, uint64(len(workspace)))
	b = append(b, workspace...)
	return append(b, id...)
}

// issuedMillis returns the time within a UUID of version 7 in Unix milliseconds, or 0 for an id that carries no time.
func issuedMillis(id string) int64 {
	if len(id) != uuidTextBytes {
		return 0
	}
	u, err := uuid.Parse(id)
	if err != nil || u.Version() != uuidTimed || u.Variant() != uuid.RFC4122 {
		return 0
	}
	return int64(binary.BigEndian.Uint64(u[:8]) >> 16)
}

// IssuedAt returns the time within a request id that is a UUID of version 7, and whether there is one.
func IssuedAt(id string) (time.Time, bool) {
	ms := issuedMillis(id)
	return time.UnixMilli(ms), ms > 0
}

// Dispatcher identifies the one call at one daemon incarnation that may use a permit.
type Dispatcher struct {
	Member      string
	Incarnation uint64
	Nonce       uint64
}

// sameProcess reports whether both dispatchers are of the same daemon incarnation.
func (d Dispatcher) sameProcess(o Dispatcher) bool {
	return d.Member == o.Member && d.Incarnation == o.Incarnation
}

// IncarnationName returns the name of a daemon incarnation, as Resolve gives it to clients.
func IncarnationName(m cataloger.Member) string {
	return fmt.Sprintf("%s/%d", m.Name, m.Incarnation)
}

func millis(t time.Time) int64 { return t.UnixMilli() }
