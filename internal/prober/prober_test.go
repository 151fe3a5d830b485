package prober

import (
	"context"
	"flag"
	"fmt"
	"os"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"
	"go.uber.org/goleak"
	"google.golang.org/protobuf/proto"
	"google.golang.org/protobuf/types/known/durationpb"
	"pgregory.net/rapid"

	"github.com/rattantray/rattantray/internal/cataloger"
	"github.com/rattantray/rattantray/internal/linker"
	"github.com/rattantray/rattantray/internal/tracker"
	enginev1 "github.com/rattantray/rattantray/pkg/api/rattantray/engine/v1"
)

func TestMain(m *testing.M) {
	flag.Parse()
	given := false
	flag.Visit(func(f *flag.Flag) { given = given || f.Name == "rapid.seed" })
	if !given {
		_ = flag.Set("rapid.seed", "20261203")
	}
	code := m.Run()
	if err := goleak.Find(); err != nil {
		fmt.Fprintln(os.Stderr, err)
		code = 1
	}
	os.Exit(code)
}

func TestHealth(t *testing.T) {
	ok, slow, refused := Answered, TimedOut, Refused
	tests := []struct {
		name     string
		from     cataloger.State
		outcomes []Outcome
		want     cataloger.State
	}{
		{"first answer", cataloger.StateJoining, []Outcome{ok}, cataloger.StateLive},
		{"one timeout", cataloger.StateLive, []Outcome{slow}, cataloger.StateSuspect},
		{"answer after a timeout", cataloger.StateLive, []Outcome{slow, slow, ok}, cataloger.StateLive},
		{"three timeouts", cataloger.StateLive, []Outcome{slow, slow, slow}, cataloger.StateDead},
		{"two refusals", cataloger.StateLive, []Outcome{refused, refused}, cataloger.StateDead},
		{"one refusal", cataloger.StateLive, []Outcome{refused}, cataloger.StateSuspect},
		{"one answer after death", cataloger.StateDead, []Outcome{ok}, cataloger.StateDead},
		{"two answers after death", cataloger.StateDead, []Outcome{ok, ok}, cataloger.StateLive},
		{"answers that alternate after death", cataloger.StateDead, []Outcome{ok, slow, ok}, cataloger.StateDead},
		{"joining stays joining after one timeout", cataloger.StateJoining, []Outcome{slow}, cataloger.StateJoining},
		{"leaving is up", cataloger.StateLeaving, []Outcome{slow}, cataloger.StateSuspect},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			h := NewHealth(tt.from)
			for _, o := range tt.outcomes {
				h = h.With(o, time.Millisecond, Options{})
			}
			require.Equal(t, tt.want, h.State)
		})
	}
}

func TestOneAnswerIsEnoughWhereAnotherDaemonAgrees(t *testing.T) {
	h := NewHealth(cataloger.StateLive)
	for range DefaultOptions().Failures {
		h = h.With(TimedOut, time.Second, Options{})
	}
	require.Equal(t, cataloger.StateDead, h.State)
	h = h.With(Answered, time.Millisecond, Options{})
	require.Equal(t, cataloger.StateDead, h.State)
	require.Equal(t, DefaultOptions().SuspectInterval, h.Interval(1, Options{}), "the next probe follows soon")
	h = h.Confirmed()
	require.Equal(t, cataloger.StateLive, h.State)
	require.Equal(t, cataloger.StateSuspect, h.With(TimedOut, time.Second, Options{}).State)
}

func TestHealthStaysWithinBounds(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		h := NewHealth(cataloger.StateJoining)
		o := DefaultOptions()
		failedInRow, before := 0, h.State
		for range rapid.IntRange(1, 100).Draw(rt, "probes") {
			outcome := Outcome(rapid.IntRange(0, 2).Draw(rt, "outcome"))
			h = h.With(outcome, time.Duration(rapid.IntRange(0, 3000).Draw(rt, "ms"))*time.Millisecond, o)
			if outcome == Answered {
				failedInRow = 0
			} else {
				failedInRow++
			}
			if h.State == cataloger.StateDead && before != cataloger.StateDead && failedInRow < 2 {
				rt.Fatal("dead after one failed probe")
			}
			if failedInRow >= o.Failures && h.State != cataloger.StateDead {
				rt.Fatalf("%s after %d failed probes", h.State, failedInRow)
			}
			if d := h.Timeout(o); d < o.MinTimeout || d > o.MaxTimeout {
				rt.Fatalf("timeout %s", d)
			}
			maxInterval := o.MaxInterval
			if h.State == cataloger.StateDead {
				maxInterval = o.DownInterval
			}
			if d := h.Interval(50, o); d <= 0 || d > maxInterval {
				rt.Fatalf("interval %s while %s", d, h.State)
			}
			before = h.State
		}
	})
}

// testFleet runs two probers on the same fleet.
type testFleet struct {
	mu       sync.Mutex
	fleet    cataloger.Fleet
	describe func(prober string) (*enginev1.DescribeResponse, time.Duration, error)
	reports  []tracker.TargetReport
	loads    map[string]*enginev1.LoadResponse
	probers  map[string]*Prober
}

func newTestFleet(t *testing.T) *testFleet {
	b := &testFleet{loads: map[string]*enginev1.LoadResponse{}, probers: map[string]*Prober{}}
	for _, name := range []string{"a", "b"} {
		b.fleet.Members = append(b.fleet.Members, cataloger.Member{Name: name, PeerAddress: name, DataCentre: "dc", State: cataloger.StateLive})
	}
	b.fleet.Targets = []cataloger.Target{{Name: "t", Address: "t:1", DataCentre: "dc", Type: cataloger.TypeEngine, State: cataloger.StateJoining}}
	b.describe = func(string) (*enginev1.DescribeResponse, time.Duration, error) {
		return &enginev1.DescribeResponse{Kind: "k"}, 5 * time.Millisecond, nil
	}
	ctx, cancel := context.WithCancel(t.Context())
	var wg sync.WaitGroup
	for _, name := range []string{"a", "b"} {
		p := b.newProber(name)
		b.probers[name] = p
		wg.Go(func() { _ = p.Run(ctx) })
	}
	t.Cleanup(func() { cancel(); wg.Wait() })
	return b
}

func (b *testFleet) newProber(name string) *Prober {
	return &Prober{
		Self:  name,
		Fleet: func() cataloger.Fleet { b.mu.Lock(); defer b.mu.Unlock(); return b.fleet },
		Describe: func(ctx context.Context, _ string) (*enginev1.DescribeResponse, error) {
			b.mu.Lock()
			d, wait, err := b.describe(name)
			b.mu.Unlock()
			select {
			case <-time.After(wait):
				return d, err
			case <-ctx.Done():
				return nil, ctx.Err()
			}
		},
		Load: func(context.Context, string) (*enginev1.LoadResponse, error) {
			return &enginev1.LoadResponse{Running: 7, Age: durationpb.New(time.Second)}, nil
		},
		Report: func(_ context.Context, _ string, r tracker.TargetReport) {
			b.mu.Lock()
			defer b.mu.Unlock()
			b.reports = append(b.reports, r)
		},
		ObserveLoad: func(_ string, l *enginev1.LoadResponse) {
			b.mu.Lock()
			defer b.mu.Unlock()
			b.loads[name] = l
		},
		Link: linker.Link{Call: b.call, Notify: b.notify},
		Log:  zerolog.Nop(),
	}
}

func (b *testFleet) call(ctx context.Context, address, method string, req, resp proto.Message) error {
	body, _ := proto.Marshal(req)
	out, err := b.probers[address].Handlers()[method](ctx, "peer", body)
	if err != nil {
		return err
	}
	proto.Merge(resp, out)
	return nil
}

func (b *testFleet) notify(address, method string, msg proto.Message) error {
	body, _ := proto.Marshal(msg)
	_, err := b.probers[address].Handlers()[method](context.Background(), "peer", body)
	return err
}

func (b *testFleet) setDescribe(f func(prober string) (*enginev1.DescribeResponse, time.Duration, error)) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.describe = f
}

func (b *testFleet) lastReport() tracker.TargetReport {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.reports[len(b.reports)-1]
}

func TestProberReports(t *testing.T) {
	type describe = func(prober string) (*enginev1.DescribeResponse, time.Duration, error)
	owner := Owners([]cataloger.Member{{Name: "a", DataCentre: "dc", State: cataloger.StateLive}, {Name: "b", DataCentre: "dc", State: cataloger.StateLive}}, cataloger.Target{Name: "t", DataCentre: "dc"})[0].Name
	down := errors.New("connection refused")
	tests := []struct {
		name   string
		engine describe
		within time.Duration
		want   cataloger.State
	}{
		{"refuses", func(string) (*enginev1.DescribeResponse, time.Duration, error) { return nil, 0, down }, 2 * time.Second, cataloger.StateDead},
		{"hangs", func(string) (*enginev1.DescribeResponse, time.Duration, error) { return nil, time.Hour, nil }, 4 * time.Second, cataloger.StateDead},
		{"is unreachable for its prober only", func(p string) (*enginev1.DescribeResponse, time.Duration, error) {
			if p == owner {
				return nil, 0, down
			}
			return &enginev1.DescribeResponse{}, 0, nil
		}, 5 * time.Second, cataloger.StateSuspect},
		{"is slower", func(string) (*enginev1.DescribeResponse, time.Duration, error) {
			return &enginev1.DescribeResponse{}, 150 * time.Millisecond, nil
		}, 3 * time.Second, cataloger.StateLive},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				b := newTestFleet(t)
				time.Sleep(3 * time.Second)
				require.Equal(t, cataloger.StateLive, b.lastReport().State)
				require.Equal(t, "k", b.lastReport().Kind)
				b.setDescribe(tt.engine)
				time.Sleep(tt.within)
				require.Equal(t, tt.want, b.lastReport().State)
			})
		})
	}
}

func TestLeavingFlagIsReportedWithinItsBound(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newTestFleet(t)
		time.Sleep(3 * time.Second)
		require.False(t, b.lastReport().Leaving)
		b.setDescribe(func(string) (*enginev1.DescribeResponse, time.Duration, error) {
			return &enginev1.DescribeResponse{Leaving: true}, 0, nil
		})
		time.Sleep(2 * time.Second)
		require.True(t, b.lastReport().Leaving)
		for _, name := range []string{"a", "b"} {
			require.Equal(t, uint32(7), b.loads[name].Running, "both daemons have the load")
			require.GreaterOrEqual(t, b.loads[name].Age.AsDuration(), time.Second)
		}
	})
}

func TestOwnersAreLocalAndStable(t *testing.T) {
	var members []cataloger.Member
	for i := range 40 {
		members = append(members, cataloger.Member{Name: fmt.Sprintf("m%d", i), DataCentre: cataloger.DataCentre(fmt.Sprint(i % 4)), State: cataloger.StateLive})
	}
	moved := 0
	for i := range 400 {
		target := cataloger.Target{Name: fmt.Sprintf("t%d", i), DataCentre: cataloger.DataCentre(fmt.Sprint(i % 4))}
		before := Owners(members, target)
		require.Len(t, before, watchersPerTarget)
		require.Equal(t, target.DataCentre, before[0].DataCentre)
		after := Owners(members[1:], target)
		if before[0].Name != after[0].Name {
			require.Equal(t, "m0", before[0].Name)
			require.Equal(t, before[1].Name, after[0].Name)
			moved++
		}
	}
	require.InDelta(t, 10, moved, 10)
	require.Equal(t, "far", Owners([]cataloger.Member{{Name: "far", DataCentre: "x", State: cataloger.StateLive}}, cataloger.Target{DataCentre: "y"})[0].Name)
}
