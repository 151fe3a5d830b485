package tokener

import (
	"encoding/binary"
	"math"
	"time"

	"github.com/cockroachdb/errors"
)

// Claims is the content of a resume token.
type Claims struct {
	Workspace string
	Service   string
	RequestID string
	// Execution identifies the run at the engines, so that an engine that still holds the stream can continue it.
	Execution string
	// Version is the version of the model that started the answer.
	Version string
	Attempt uint32
	// Route lists the stages that run the attempt.
	Route []Stage
	// Position is the next position that the caller needs.
	Position uint64
	// PayloadDigest is the SHA-256 of the request's payload.
	PayloadDigest [32]byte
	// Issued is the issue time in whole milliseconds.
	Issued time.Time
	// Member names the daemon that served the answer.
	Member string
	// Incarnation is the incarnation of that daemon.
	Incarnation uint64
}

// Stage is a target's part of a route. It has no address, because the caller must neither learn nor choose one.
type Stage struct {
	Target     string
	FirstLayer uint32
	EndLayer   uint32
}

// WithPosition returns a copy with another position.
func (c Claims) WithPosition(position uint64) Claims {
	c.Position = position
	return c
}

// WithIssued returns a copy with another issue time.
func (c Claims) WithIssued(t time.Time) Claims {
	c.Issued = t
	return c
}

const (
	maxNameBytes = 1024
	// maxStages is the maximum number of stages of a route.
	maxStages = 64
)

var errDamaged = errors.New("token is damaged")

// append encodes the claims in the token's only canonical form: each string after its length, each number as a varint.
func (c Claims) append(b []byte) []byte {
	for _, s := range []string{c.Workspace, c.Service, c.RequestID, c.Execution, c.Version, c.Member} {
		b = binary.AppendUvarint(b, uint64(len(s)))
		b = append(b, s...)
	}
	b = binary.AppendUvarint(b, uint64(c.Attempt))
	b = binary.AppendUvarint(b, c.Position)
	b = binary.AppendUvarint(b, uint64(c.Issued.UnixMilli()))
	b = binary.AppendUvarint(b, c.Incarnation)
	b = binary.AppendUvarint(b, uint64(len(c.Route)))
	for _, s := range c.Route {
		b = binary.AppendUvarint(b, uint64(len(s.Target)))
		b = append(b, s.Target...)
		b = binary.AppendUvarint(b, uint64(s.FirstLayer))
		b = binary.AppendUvarint(b, uint64(s.EndLayer))
	}
	return append(b, c.PayloadDigest[:]...)
}

func parseClaims(b []byte) (Claims, error) {
	var c Claims
	r := reader{rest: b}
	c.Workspace = r.readString()
	c.Service = r.readString()
	c.RequestID = r.readString()
	c.Execution = r.readString()
	c.Version = r.readString()
	c.Member = r.readString()
	c.Attempt = r.readUint32()
	c.Position = r.readUvarint()
	issued := r.readUvarint()
	c.Issued = time.UnixMilli(int64(issued))
	c.Incarnation = r.readUvarint()
	c.Route = r.readRoute()
	if r.failed || int64(issued) < 0 || len(r.rest) != len(c.PayloadDigest) {
		return Claims{}, errDamaged
	}
	copy(c.PayloadDigest[:], r.rest)
	return c, nil
}

type reader struct {
	rest   []byte
	failed bool
}

func (r *reader) readUvarint() uint64 {
	v, n := binary.Uvarint(r.rest)
	if n <= 0 || (n > 1 && r.rest[n-1] == 0) {
		r.failed = true
		return 0
	}
	r.rest = r.rest[n:]
	return v
}

// readUint32 reads a varint and fails if it exceeds 32 bits.
func (r *reader) readUint32() uint32 {
	v := r.readUvarint()
	if v > math.MaxUint32 {
		r.failed = true
	}
	return uint32(v)
}

func (r *reader) readRoute() []Stage {
	n := r.readUvarint()
	if r.failed || n > maxStages {
		r.failed = true
		return nil
	}
	var route []Stage
	for range n {
		route = append(route, Stage{Target: r.readString(), FirstLayer: r.readUint32(), EndLayer: r.readUint32()})
	}
	return route
}

func (r *reader) readString() string {
	n := r.readUvarint()
	if r.failed || n > maxNameBytes || n > uint64(len(r.rest)) {
		r.failed = true
		return ""
	}
	s := string(r.rest[:n])
	r.rest = r.rest[n:]
	return s
}
