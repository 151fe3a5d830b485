package logger

import (
	"bytes"
	"context"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"

	"github.com/rattantray/rattantray/internal/timer"
)

// blockedWriter blocks writes until it is released.
type blockedWriter struct {
	release chan struct{}
	bytes.Buffer
}

func (s *blockedWriter) Write(p []byte) (int, error) {
	<-s.release
	return s.Buffer.Write(p)
}

// TestBlockedOutputBlocksNoCaller checks that logging to a blocked output does not block, keeps lines of failures and counts dropped
// lines.
func TestBlockedOutputBlocksNoCaller(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		out := &blockedWriter{release: make(chan struct{})}
		l := New(out, timer.System{})
		l.Budget = 100 * queueLength
		ctx, cancel := context.WithCancel(t.Context())
		done := make(chan struct{})
		go func() {
			l.Run(ctx)
			close(done)
		}()
		log := zerolog.New(l)
		log.Info().Msg("success")
		synctest.Wait() // the writer is blocked on this line
		for range 2 * queueLength {
			log.Info().Msg("success")
		}
		log.Warn().Msg("failure")
		time.Sleep(reportInterval + time.Millisecond)
		close(out.release)
		synctest.Wait()
		cancel()
		<-done
		text := out.String()
		require.Contains(t, text, "failure")
		require.Contains(t, text, `"of-level":"info"`)
		require.LessOrEqual(t, strings.Count(text, "success"), queueLength+1)
		lines := strings.Split(text, "\n")
		require.Contains(t, lines[0], "success")
		require.Contains(t, lines[1], "failure", "the failure was written before lines that had waited longer")
	})
}

func TestLineBudget(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var out bytes.Buffer
		l := New(&out, timer.System{})
		l.Budget = 10
		ctx, cancel := context.WithCancel(t.Context())
		done := make(chan struct{})
		go func() {
			l.Run(ctx)
			close(done)
		}()
		log := zerolog.New(l)
		for range 25 {
			log.Info().Msg("success")
			log.Warn().Msg("failure")
		}
		time.Sleep(reportInterval + time.Millisecond)
		cancel()
		<-done
		require.Equal(t, 10, strings.Count(out.String(), "success"))
		require.Equal(t, 25, strings.Count(out.String(), "failure"))
		require.Contains(t, out.String(), `"dropped":15`)
	})
}
