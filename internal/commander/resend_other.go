//go:build !linux

package commander

import (
	"syscall"
	"time"
)

func limitResend(syscall.RawConn, time.Duration) error { return nil }
