package commander

import (
	"syscall"
	"time"
)

// tcpUserTimeout is TCP_USER_TIMEOUT, which package syscall does not name.
const tcpUserTimeout = 0x12

// limitResend bounds how long the kernel sends again what the other end has not acknowledged.
func limitResend(raw syscall.RawConn, d time.Duration) error {
	var failed error
	err := raw.Control(func(fd uintptr) {
		failed = syscall.SetsockoptInt(int(fd), syscall.IPPROTO_TCP, tcpUserTimeout, int(d.Milliseconds()))
	})
	if err != nil {
		return err
	}
	return failed
}
