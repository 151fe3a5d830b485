package leaser

import (
	"time"

	"google.golang.org/protobuf/proto"

	peerv1 "github.com/rattantray/rattantray/internal/api/rattantray/peer/v1"
	"github.com/rattantray/rattantray/internal/storer"
)

// operation is a call to the store that the machine requests; its result is passed to handleResult.
type operation struct {
	number uint64
	// duty is the lease that the call is for; empty for the daemon's own session.
	duty string
	kind operationKind
	key  string
	// value and expected are for writes.
	value    []byte
	expected storer.Point
	sent     time.Time
	// renewal is the number of the renewal that a write to this daemon's session carries.
	renewal uint64
}

type operationKind int

const (
	readLease operationKind = iota
	readSession
	closeSession
	writeLease
	renewSession
)

// result is the result of a call to the store.
type result struct {
	object  storer.Object
	version storer.Point
	err     error
}

// era returns the era of the store that the result carries, and whether it carries one.
func (r result) era() (uint64, bool) {
	p := max(r.version, r.object.Version)
	return p.Era(), r.err == nil && p != 0
}

func decodeSession(r result) (*peerv1.LeaseSession, error) {
	if r.err != nil {
		return nil, r.err
	}
	s := &peerv1.LeaseSession{}
	return s, proto.Unmarshal(r.object.Value, s)
}

func encode(p proto.Message) []byte {
	b, err := proto.Marshal(p)
	if err != nil {
		panic(err)
	}
	return b
}
