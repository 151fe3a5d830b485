package commander

import (
	"syscall"
	"time"
)

// tcpUserTimeout is TCP_USER_TIMEOUT, which package syscall does not define.
const tcpUserTimeout = 0x12

// limitResend limits how long the kernel resends data that the other end has not acknowledged.
func limitResend(raw syscall.RawConn, d time.Duration) error {
	var optionErr error
	err := raw.Control(func(fd uintptr) {
		optionErr = syscall.SetsockoptInt(int(fd), syscall.IPPROTO_TCP, tcpUserTimeout, int(d.Milliseconds()))
	})
	if err != nil {
		return err
	}
	return optionErr
}
