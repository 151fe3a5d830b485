package exchanger

import (
	"context"
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

const (
	// maxUnacknowledged bounds how long sent bytes wait for a silent peer before the connection is closed.
	maxUnacknowledged = 3 * time.Second
	// Keep-alive probes find a silent peer while there is nothing to send.
	probeIdle     = 2 * time.Second
	probeInterval = time.Second
	probeCount    = 2
)

// DialTCP opens a TCP connection that detects a silent peer.
func DialTCP(ctx context.Context, address string) (net.Conn, error) {
	return DialTCPFrom(ctx, nil, address)
}

// DialTCPFrom is like DialTCP, from a local IP address; nil means any.
func DialTCPFrom(ctx context.Context, local net.IP, address string) (net.Conn, error) {
	d := net.Dialer{
		KeepAliveConfig: net.KeepAliveConfig{Enable: true, Idle: probeIdle, Interval: probeInterval, Count: probeCount},
		Control: func(_, _ string, raw syscall.RawConn) error {
			var option error
			err := raw.Control(func(fd uintptr) {
				option = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(maxUnacknowledged.Milliseconds()))
			})
			if err != nil {
				return err
			}
			return option
		},
	}
	if local != nil {
		d.LocalAddr = &net.TCPAddr{IP: local}
	}
	return d.DialContext(ctx, "tcp", address)
}

// isUsable reports whether an idle connection is open and has received no unexpected bytes.
func (c *conn) isUsable() bool {
	if c.reader.Buffered() > 0 {
		return false
	}
	sc, ok := c.Conn.(syscall.Conn)
	if !ok {
		return true
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return false
	}
	idle := false
	err = raw.Read(func(fd uintptr) bool {
		var peeked [1]byte
		_, _, err := unix.Recvfrom(int(fd), peeked[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		idle = err == unix.EAGAIN
		return true
	})
	return err == nil && idle
}
