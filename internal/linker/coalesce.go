package linker

import (
	"encoding/binary"
	"net"
)

const (
	headerBytes  = 12
	typeOffset   = 1
	lengthOffset = 8
	typeData     = 0
)

// coalescer joins the header of a yamux data frame with the body that the session writes next, so that both take one TLS record
// and one segment.
type coalescer struct {
	net.Conn
	// pending is a header whose body has not been written yet; it needs no lock, since only the send loop of the session writes.
	pending []byte
	traffic *traffic
	streams streamSet
}

// Close implements net.Conn; the session calls it as soon as it closes.
func (c *coalescer) Close() error {
	c.streams.expireAll()
	return c.Conn.Close()
}

// Read implements net.Conn.
func (c *coalescer) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.traffic.received.Add(uint64(max(n, 0)))
	if err != nil {
		c.streams.expireAll()
	}
	return n, err
}

// Write implements net.Conn.
func (c *coalescer) Write(b []byte) (int, error) {
	if len(c.pending) == 0 && isDataHeader(b) {
		c.pending = append(c.pending, b...)
		return len(b), nil
	}
	if len(c.pending) == 0 {
		n, err := c.Conn.Write(b)
		c.traffic.sent.Add(uint64(max(n, 0)))
		return n, err
	}
	held := len(c.pending)
	joined := append(c.pending, b...)
	n, err := c.Conn.Write(joined)
	c.traffic.sent.Add(uint64(max(n, 0)))
	c.pending = joined[:0]
	if cap(c.pending) > maxPendingBytes {
		c.pending = nil
	}
	return max(n-held, 0), err
}

// maxPendingBytes is the maximum capacity of the buffer that is kept between writes.
const maxPendingBytes = 4 << 10

// isDataHeader reports whether b is the header of a data frame with a body.
func isDataHeader(b []byte) bool {
	return len(b) == headerBytes && b[0] == 0 && b[typeOffset] == typeData && binary.BigEndian.Uint32(b[lengthOffset:]) > 0
}
