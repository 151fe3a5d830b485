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
	// LinesPerSecond is the budget of lines that tell of no failure; four lines for each of 75 requests a second.
	LinesPerSecond = 300
	// queueLength bounds the lines that wait for the writer, of each kind.
	queueLength = 2048
	// reportInterval is the time between two lines that say how many were dropped.
	reportInterval = time.Second
)

// Logger is a zerolog.LevelWriter; set its exported fields before Run.
type Logger struct {
	Out   io.Writer
	Clock timer.Clock
	// Budget is in lines a second, for lines below the level of warnings.
	Budget int

	failures chan []byte
	others   chan []byte

	mu      sync.Mutex
	second  int64
	spent   int
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

// WriteLevel queues a line, or drops it; lines of failures are kept before the others.
func (l *Logger) WriteLevel(level zerolog.Level, p []byte) (int, error) {
	queue := l.others
	if level >= zerolog.WarnLevel {
		queue = l.failures
	} else if !l.spend() {
		l.drop(level)
		return len(p), nil
	}
	select {
	case queue <- append([]byte(nil), p...):
	default:
		l.drop(level)
	}
	return len(p), nil
}

// spend takes one line out of the budget of this second, or returns false.
func (l *Logger) spend() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if second := l.Clock.Now().Unix(); second != l.second {
		l.second, l.spent = second, 0
	}
	l.spent++
	return l.spent <= l.Budget
}

func (l *Logger) drop(level zerolog.Level) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.dropped[level]++
}

// Run writes until ctx is done, and then what is queued.
func (l *Logger) Run(ctx context.Context) {
	go l.report(ctx)
	for {
		// A line of a failure goes first where both kinds wait.
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

// write passes a line to the output; an output that fails has nobody to be told.
func (l *Logger) write(p []byte) { _, _ = l.Out.Write(p) }

// report says once in a while how many lines were dropped.
func (l *Logger) report(ctx context.Context) {
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
