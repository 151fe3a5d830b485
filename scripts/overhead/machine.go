package main

import (
	"bytes"
	"fmt"
	"os"
	"strings"
	"time"
)

// tick is the unit of processor time in /proc.
const tick = 10 * time.Millisecond

// machineTime returns the processor time that all processes have used.
func machineTime() (time.Duration, error) {
	stat, err := os.ReadFile("/proc/stat")
	if err != nil {
		return 0, err
	}
	var user, nice, system, idle, wait, irq, soft int64
	if _, err := fmt.Sscanf(string(stat), "cpu %d %d %d %d %d %d %d", &user, &nice, &system, &idle, &wait, &irq, &soft); err != nil {
		return 0, err
	}
	return time.Duration(user+nice+system+irq+soft) * tick, nil
}

// processTime returns the processor time that a process has used, including that of its ended children.
func processTime(pid int) (time.Duration, error) {
	stat, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
	if err != nil {
		return 0, err
	}
	// The program name ends with the last parenthesis and may contain spaces.
	fields := strings.Fields(string(stat[bytes.LastIndexByte(stat, ')')+1:]))
	const user, ended = 11, 15
	var sum int64
	for _, field := range fields[user:ended] {
		var n int64
		if _, err := fmt.Sscan(field, &n); err != nil {
			return 0, err
		}
		sum += n
	}
	return time.Duration(sum) * tick, nil
}

// usage is the processor time that the machine and the measurement's processes have used up to a moment.
type usage struct {
	at                   time.Time
	machine, own         time.Duration
	router, callers      time.Duration
	engines, auxiliaries time.Duration
}

// othersCores returns how many cores other processes have used since an earlier reading.
func (r usage) othersCores(before usage) float64 {
	own := r.own - before.own
	return max(0, ((r.machine-before.machine)-own).Seconds()/r.at.Sub(before.at).Seconds())
}
