package registrar

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"
	"go.uber.org/goleak"

	"github.com/rattantray/rattantray/internal/timer"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

func newRegistrar() *Registrar { return New(zerolog.Nop(), timer.System{}) }

func recordingService(log *[]string, name string, needs ...string) Service {
	return Service{
		Name:  name,
		Needs: needs,
		Value: name,
		Start: func(context.Context) error { *log = append(*log, "start "+name); return nil },
		Run:   func(ctx context.Context) error { <-ctx.Done(); return ctx.Err() },
		Stop:  func(context.Context) error { *log = append(*log, "stop "+name); return nil },
	}
}

func TestRunStartsInDependencyOrderAndStopsInReverse(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var log []string
		r := newRegistrar()
		require.NoError(t, r.Register(recordingService(&log, "receiver", "store", "members")))
		require.NoError(t, r.Register(recordingService(&log, "members", "store")))
		require.NoError(t, r.Register(recordingService(&log, "store")))
		ctx, cancel := context.WithCancel(t.Context())
		done := make(chan error, 1)
		go func() { done <- r.Run(ctx) }()
		synctest.Wait()
		cancel()
		require.NoError(t, <-done)
		require.Equal(t, []string{
			"start store", "start members", "start receiver",
			"stop receiver", "stop members", "stop store",
		}, log)
		for _, s := range r.Statuses() {
			require.Equal(t, StateStopped, s.State)
		}
	})
}

func TestRunReportsTheFailedServiceByName(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newRegistrar()
		runErr := errors.New("boom")
		require.NoError(t, r.Register(Service{Name: "store"}))
		require.NoError(t, r.Register(Service{
			Name:  "planner",
			Needs: []string{"store"},
			Run: func(context.Context) error {
				time.Sleep(time.Second)
				return runErr
			},
		}))
		err := r.Run(t.Context())
		require.ErrorIs(t, err, runErr)
		require.ErrorContains(t, err, "planner")
		require.Equal(t, StateFailed, r.Statuses()[1].State)
	})
}

func TestRunStopsStartedServicesWhenAStartFails(t *testing.T) {
	var log []string
	r := newRegistrar()
	require.NoError(t, r.Register(recordingService(&log, "store")))
	require.NoError(t, r.Register(Service{
		Name:  "members",
		Needs: []string{"store"},
		Start: func(context.Context) error { return errors.New("no address") },
	}))
	require.ErrorContains(t, r.Run(t.Context()), "start members: no address")
	require.Equal(t, []string{"start store", "stop store"}, log)
}

func TestRunLimitsTheWaitForAServiceThatDoesNotStop(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newRegistrar()
		r.StopTimeout = 2 * time.Second
		release := make(chan struct{})
		require.NoError(t, r.Register(Service{
			Name: "stuck",
			Run:  func(context.Context) error { <-release; return nil },
		}))
		ctx, cancel := context.WithCancel(t.Context())
		cancel()
		begin := time.Now()
		require.ErrorContains(t, r.Run(ctx), "stuck did not stop within 2s")
		require.Equal(t, 2*time.Second, time.Since(begin))
		close(release)
	})
}

func TestRegisterAndOrderErrors(t *testing.T) {
	tests := []struct {
		name     string
		services []Service
		want     string
	}{
		{"missing dependency", []Service{{Name: "a", Needs: []string{"b"}}}, `"a" needs "b", which is not registered`},
		{"cycle", []Service{{Name: "a", Needs: []string{"b"}}, {Name: "b", Needs: []string{"a"}}}, "needs itself"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			r := newRegistrar()
			for _, s := range tt.services {
				require.NoError(t, r.Register(s))
			}
			require.ErrorContains(t, r.Run(t.Context()), tt.want)
		})
	}
	r := newRegistrar()
	require.NoError(t, r.Register(Service{Name: "a"}))
	require.ErrorContains(t, r.Register(Service{Name: "a"}), "registered twice")
	require.ErrorContains(t, r.Register(Service{}), "without a name")
}

func TestFindChecksNameAndType(t *testing.T) {
	r := newRegistrar()
	require.NoError(t, r.Register(Service{Name: "limit", Value: 7}))
	v, err := Find[int](r, "limit")
	require.NoError(t, err)
	require.Equal(t, 7, v)
	_, err = Find[string](r, "limit")
	require.ErrorContains(t, err, "is a int, not a string")
	_, err = Find[int](r, "rate")
	require.ErrorContains(t, err, `no service "rate"`)
}
