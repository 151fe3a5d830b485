package router

import (
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// processorTime returns the processor time that the process has used.
func processorTime(tb testing.TB) time.Duration {
	tb.Helper()
	var usage syscall.Rusage
	require.NoError(tb, syscall.Getrusage(syscall.RUSAGE_SELF, &usage))
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}
