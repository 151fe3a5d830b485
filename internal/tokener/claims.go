package tokener

import (
	"encoding/binary"
	"math"
	"time"

	"github.com/cockroachdb/errors"
)

// Claims is what a resume token says.
type Claims struct {
	Workspace string
	Service   string
	RequestID string
	// Execution names the run towards the engines, so that an engine that still holds its stream can go on with it.
	Execution string
	// Version of the model that began the answer.
	Version string
	Attempt uint32
	// Route is the chain that runs the attempt.
	Route []Stage
	// Position is the next position that the caller needs.
	Position uint64
	// PayloadDigest is the SHA-256 of the request's payload.
	PayloadDigest [32]byte
	// Issued is in whole milliseconds.
	Issued time.Time
	// Member names the daemon that served the answer.
	Member string
	// Incarnation of that daemon.
	Incarnation uint64
}

// Stage is a target's part of a route; its address is not the caller's to know or to choose.
type Stage struct {
	Target     string
	FirstLayer uint32
	EndLayer   uint32
}

// WithPosition returns a copy that continues elsewhere.
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
	// maxStages bounds the stages of a route.
	maxStages = 64
)

var errDamaged = errors.New("token is damaged")

// append writes the claims in the token's one canonical form: each string behind its length, each number as a varint.
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
	c.Workspace = r.text()
	c.Service = r.text()
	c.RequestID = r.text()
	c.Execution = r.text()
	c.Version = r.text()
	c.Member = r.text()
	c.Attempt = r.small()
	c.Position = r.number()
	issued := r.number()
	c.Issued = time.UnixMilli(int64(issued))
	c.Incarnation = r.number()
	c.Route = r.route()
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

func (r *reader) number() uint64 {
	v, n := binary.Uvarint(r.rest)
	if n <= 0 || (n > 1 && r.rest[n-1] == 0) {
		r.failed = true
		return 0
	}
	r.rest = r.rest[n:]
	return v
}

// small returns a number of 32 bits.
func (r *reader) small() uint32 {
	v := r.number()
	if v > math.MaxUint32 {
		r.failed = true
	}
	return uint32(v)
}

func (r *reader) route() []Stage {
	n := r.number()
	if r.failed || n > maxStages {
		r.failed = true
		return nil
	}
	var route []Stage
	for range n {
		route = append(route, Stage{Target: r.text(), FirstLayer: r.small(), EndLayer: r.small()})
	}
	return route
}

func (r *reader) text() string {
	n := r.number()
	if r.failed || n > maxNameBytes || n > uint64(len(r.rest)) {
		r.failed = true
		return ""
	}
	s := string(r.rest[:n])
	r.rest = r.rest[n:]
	return s
}
