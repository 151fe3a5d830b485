package exchanger

import (
	"context"
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

const (
	// unacknowledged bounds how long sent bytes wait for a peer that went silent, before the connection is given up.
	unacknowledged = 3 * time.Second
	// Keep-alive probes find a silent peer while there is nothing to send.
	probeIdle     = 2 * time.Second
	probeInterval = time.Second
	probeCount    = 2
)

// DialTCP opens a TCP connection that notices a silent peer.
func DialTCP(ctx context.Context, address string) (net.Conn, error) {
	d := net.Dialer{
		KeepAliveConfig: net.KeepAliveConfig{Enable: true, Idle: probeIdle, Interval: probeInterval, Count: probeCount},
		Control: func(_, _ string, raw syscall.RawConn) error {
			var option error
			err := raw.Control(func(fd uintptr) {
				option = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(unacknowledged.Milliseconds()))
			})
			if err != nil {
				return err
			}
			return option
		},
	}
	return d.DialContext(ctx, "tcp", address)
}

// sound tells whether an idle connection is open and has brought nothing that nobody asked for.
func (c *conn) sound() bool {
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
	quiet := false
	err = raw.Read(func(fd uintptr) bool {
		var one [1]byte
		_, _, err := unix.Recvfrom(int(fd), one[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		quiet = err == unix.EAGAIN
		return true
	})
	return err == nil && quiet
}
