package logger

import (
	"context"
	"fmt"
	"io"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"github.com/rattantray/rattantray/internal/timer"
)

const (
	// LinesPerSecond is the default budget of lines below the warning level: four lines for each of 75 requests a second.
	LinesPerSecond = 300
	// queueLength bounds each of the two queues of lines that wait for the writer.
	queueLength = 2048
	// reportInterval is the time between two reports of dropped lines.
	reportInterval = time.Second
)

// Logger is a zerolog.LevelWriter that queues lines and drops those over its limits; set its exported fields before use.
type Logger struct {
	Out   io.Writer
	Clock timer.Clock
	// Budget is the maximum number of lines a second below the warning level.
	Budget int

	failures chan []byte
	others   chan []byte

	mu      sync.Mutex
	second  int64
	used    int
	dropped map[zerolog.Level]int
}

// New returns a logger with the default budget.
func New(out io.Writer, clock timer.Clock) *Logger {
	return &Logger{
		Out: out, Clock: clock, Budget: LinesPerSecond,
		failures: make(chan []byte, queueLength), others: make(chan []byte, queueLength), dropped: map[zerolog.Level]int{},
	}
}

// Write implements io.Writer for lines without a level.
func (l *Logger) Write(p []byte) (int, error) { return l.WriteLevel(zerolog.InfoLevel, p) }

// WriteLevel queues a line, or drops it if the queue is full or the budget is spent; lines of failures have their own queue and no
// budget.
func (l *Logger) WriteLevel(level zerolog.Level, p []byte) (int, error) {
	queue := l.others
	if level >= zerolog.WarnLevel {
		queue = l.failures
	} else if !l.takeFromBudget() {
		l.countDropped(level)
		return len(p), nil
	}
	select {
	case queue <- append([]byte(nil), p...):
	default:
		l.countDropped(level)
	}
	return len(p), nil
}

// takeFromBudget takes one line out of the budget of this second, and returns whether the budget allowed it.
func (l *Logger) takeFromBudget() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if second := l.Clock.Now().Unix(); second != l.second {
		l.second, l.used = second, 0
	}
	l.used++
	return l.used <= l.Budget
}

func (l *Logger) countDropped(level zerolog.Level) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.dropped[level]++
}

// Run writes queued lines until ctx is done, and then the remaining ones.
func (l *Logger) Run(ctx context.Context) {
	go l.reportDropped(ctx)
	for {
		// Lines of failures are written before others.
		select {
		case p := <-l.failures:
			l.write(p)
			continue
		default:
		}
		select {
		case p := <-l.failures:
			l.write(p)
		case p := <-l.others:
			l.write(p)
		case <-ctx.Done():
			l.flush()
			return
		}
	}
}

func (l *Logger) flush() {
	for {
		select {
		case p := <-l.failures:
			l.write(p)
		case p := <-l.others:
			l.write(p)
		default:
			return
		}
	}
}

// write writes a line to the output; it ignores errors, as there is nowhere else to report them.
func (l *Logger) write(p []byte) { _, _ = l.Out.Write(p) }

// reportDropped logs, once every reportInterval, how many lines of each level were dropped.
func (l *Logger) reportDropped(ctx context.Context) {
	for l.Clock.Sleep(ctx, reportInterval) == nil {
		l.mu.Lock()
		dropped := l.dropped
		l.dropped = map[zerolog.Level]int{}
		l.mu.Unlock()
		for level, n := range dropped {
			line := fmt.Appendf(nil, `{"level":"warn","dropped":%d,"of-level":%q,"time":%d,"message":"log lines dropped"}`+"\n",
				n, level.String(), l.Clock.Now().UnixMilli())
			_, _ = l.WriteLevel(zerolog.WarnLevel, line)
		}
	}
}
