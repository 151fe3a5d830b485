package tunneler

import (
	"encoding/binary"
	"io"
	"net"
)

const (
	// frameHeader is the size of the length before each frame; a frame of length 0 means that the target has closed the connection.
	frameHeader = 2
	bufferSize  = 4 << 10
)

// conn is a connection to a target through a peer. What comes from the target is framed, so that the end of the peer is not taken for
// the end of an answer.
type conn struct {
	net.Conn
	reader io.Reader
	// left is the number of bytes left in the current frame.
	left  int
	ended bool
	// address is that of the target.
	address net.Addr
}

// RemoteAddr returns the address of the target.
func (c *conn) RemoteAddr() net.Addr { return c.address }

// SingleUse marks the connection as one that is not kept for another request.
func (c *conn) SingleUse() {}

// Read reads what the target sent. It returns io.ErrUnexpectedEOF if the connection to the peer ends before that to the target.
func (c *conn) Read(p []byte) (int, error) {
	if c.ended {
		return 0, io.EOF
	}
	if c.left == 0 {
		var header [frameHeader]byte
		if _, err := io.ReadFull(c.reader, header[:]); err != nil {
			return 0, unexpected(err)
		}
		if c.left = int(binary.BigEndian.Uint16(header[:])); c.left == 0 {
			c.ended = true
			return 0, io.EOF
		}
	}
	n, err := c.reader.Read(p[:min(len(p), c.left)])
	c.left -= n
	return n, unexpected(err)
}

// unexpected returns io.ErrUnexpectedEOF in place of io.EOF.
func unexpected(err error) error {
	if err == io.EOF { //nolint:errorlint // readers return io.EOF itself
		return io.ErrUnexpectedEOF
	}
	return err
}

// copyFrames copies what a target sends in frames, until it closes the connection.
func copyFrames(w io.Writer, target io.Reader) error {
	buffer := make([]byte, frameHeader+bufferSize)
	for {
		n, err := target.Read(buffer[frameHeader:])
		if n > 0 {
			binary.BigEndian.PutUint16(buffer, uint16(n))
			if _, err := w.Write(buffer[:frameHeader+n]); err != nil {
				return err
			}
		}
		if err == io.EOF {
			_, err := w.Write(make([]byte, frameHeader))
			return err
		}
		if err != nil {
			return err
		}
	}
}
