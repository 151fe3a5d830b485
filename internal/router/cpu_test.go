package router

import (
	"fmt"
	"os"
	"path/filepath"
	"runtime"
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

const (
	// statTick is the unit of /proc/stat.
	statTick = 10 * time.Millisecond
	// idleShare is the share of the cores that other processes may use while the machine counts as idle.
	idleShare = 0.4
)

// machineReading holds the kernel's counts of processor time at one moment.
type machineReading struct {
	at time.Time
	// busy is the processor time of all processes, own is that of this one.
	busy, own time.Duration
	// queued is the time that threads of this process were ready to run without a core.
	queued time.Duration
}

func readMachine(tb testing.TB) machineReading {
	tb.Helper()
	r := machineReading{at: time.Now(), own: processorTime(tb)}
	stat, err := os.ReadFile("/proc/stat")
	require.NoError(tb, err)
	var user, nice, system, idle, ioWait, irq, soft int64
	_, err = fmt.Sscanf(string(stat), "cpu %d %d %d %d %d %d %d", &user, &nice, &system, &idle, &ioWait, &irq, &soft)
	require.NoError(tb, err)
	r.busy = time.Duration(user+nice+system+irq+soft) * statTick
	threads, err := filepath.Glob("/proc/self/task/*/schedstat")
	require.NoError(tb, err)
	for _, name := range threads {
		text, err := os.ReadFile(name)
		if err != nil {
			continue
		}
		var ran, queued int64
		_, err = fmt.Sscanf(string(text), "%d %d", &ran, &queued)
		require.NoError(tb, err)
		r.queued += time.Duration(queued)
	}
	return r
}

// otherCoresSince returns the number of cores that other processes used since an earlier reading.
func (r machineReading) otherCoresSince(before machineReading) float64 {
	return ((r.busy - before.busy) - (r.own - before.own)).Seconds() / r.at.Sub(before.at).Seconds()
}

func isIdle(others float64) bool { return others <= idleShare*float64(runtime.NumCPU()) }
