package limiter

import (
	"context"
	"flag"
	"fmt"
	"os"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/proto"
	"pgregory.net/rapid"

	"github.com/rattantray/rattantray/internal/cataloger"
	"github.com/rattantray/rattantray/internal/documenter"
	"github.com/rattantray/rattantray/internal/linker"
	"github.com/rattantray/rattantray/internal/timer"
	"github.com/rattantray/rattantray/pkg/refuser"
)

func TestMain(m *testing.M) {
	if err := flag.Set("rapid.seed", "4301"); err != nil {
		panic(err)
	}
	flag.Parse()
	os.Exit(m.Run())
}

var (
	key   = Key{"assistant", "counter"}
	epoch = time.Unix(1_000_000, 0)
)

func members(n int) []Member {
	ms := make([]Member, n)
	for i := range ms {
		ms[i].Name = fmt.Sprint("entry-", i)
	}
	return ms
}

func TestFallbackSumsToTheLimit(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		ms := namesOf(members(rapid.IntRange(1, 50).Draw(t, "members")))
		limit := Limit{Rate: 7, Concurrency: rapid.IntRange(1, 120).Draw(t, "limit")}
		sum := Share{}
		for _, m := range ms {
			s := Fallback(key, limit, ms, m)
			sum.Rate += s.Rate
			sum.Concurrency += s.Concurrency
		}
		require.InDelta(t, limit.Rate, sum.Rate, 1e-9)
		require.Equal(t, float64(limit.Concurrency), sum.Concurrency)
	})
}

// TestAllocatorFuzz checks that the shares that all entries may use, according to their last answers, never exceed the
// limit in sum.
func TestAllocatorFuzz(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.SampledFrom([]int{1, 2, 3, 4, 6, 24}).Draw(t, "members")
		ms := members(n)
		limit := Limit{
			Rate:        float64(rapid.IntRange(1, 100).Draw(t, "rate")),
			Concurrency: rapid.IntRange(1, 40).Draw(t, "concurrency"),
		}
		now := epoch
		a := NewAllocator()
		a.life.set(now, rapid.SampledFrom([]time.Duration{TTL, maxLife}).Draw(t, "longest"))
		type use struct {
			share   Share
			expires time.Time
		}
		uses := map[string]use{}
		usable := func(m Member) Share {
			if u, ok := uses[m.Name]; ok && now.Before(u.expires) {
				return u.share
			}
			if m.Suspect {
				return Fallback(key, limit, namesOf(ms), m.Name)
			}
			return Floor(limit, n)
		}
		settled := epoch
		t.Repeat(map[string]func(*rapid.T){
			"report": func(t *rapid.T) {
				i := rapid.IntRange(0, n-1).Draw(t, "member")
				if ms[i].Suspect {
					return
				}
				d := Demand{Key: key, Rate: float64(rapid.IntRange(0, 200).Draw(t, "demand")), Wanted: float64(rapid.IntRange(0, 60).Draw(t, "wanted"))}
				r := Report{Member: ms[i].Name, Demand: d, Held: uses[ms[i].Name].share}
				r.TTL = time.Duration(rapid.IntRange(0, 100).Draw(t, "ttl")) * time.Second
				s := a.Report(now, limit, ms, r)
				require.GreaterOrEqual(t, s.Rate, Floor(limit, n).Rate)
				require.Equal(t, float64(int(s.Concurrency)), s.Concurrency)
				uses[ms[i].Name] = use{s, now.Add(a.GrantDuration(r))}
			},
			"wait": func(t *rapid.T) {
				now = now.Add(time.Duration(rapid.IntRange(0, 8000).Draw(t, "ms")) * time.Millisecond)
			},
			"suspect": func(t *rapid.T) {
				i := rapid.IntRange(0, n-1).Draw(t, "member")
				ms[i].Suspect = !ms[i].Suspect
				// The sum may exceed the limit until the earlier grants have expired.
				settled = now.Add(a.life.longest)
			},
			"": func(t *rapid.T) {
				if now.Before(settled) {
					return
				}
				sum := Share{}
				for _, m := range ms {
					s := usable(m)
					sum.Rate += s.Rate
					sum.Concurrency += s.Concurrency
				}
				require.LessOrEqual(t, sum.Rate, limit.Rate+1e-6)
				require.LessOrEqual(t, sum.Concurrency, float64(limit.Concurrency))
			},
		})
	})
}

func TestSharesFollowDemand(t *testing.T) {
	a := NewAllocator()
	ms := members(4)
	limit := Limit{Rate: 100, Concurrency: 40}
	report := func(now time.Time, i int, rate, wanted float64) Share {
		return a.Report(now, limit, ms, Report{Member: ms[i].Name, Demand: Demand{Key: key, Rate: rate, Wanted: wanted}})
	}
	now := epoch
	require.InDelta(t, 25, report(now, 0, 90, 30).Rate, 1e-9, "an even part while grants of an earlier owner may be in use")
	now = now.Add(TTL)
	require.GreaterOrEqual(t, report(now, 0, 90, 30).Rate, 90.0, "one entry gets almost all")
	require.Less(t, report(now, 1, 50, 20).Rate, 10.0, "until the first releases its share")
	now = now.Add(time.Second)
	report(now, 0, 90, 30)
	s := report(now, 1, 50, 20)
	require.InDelta(t, 47.5, s.Rate, 3)
	require.InDelta(t, 20, s.Concurrency, 2)
}

// fleet is n limiters in one synctest bubble, whose calls fail for members in unreachable.
type fleet struct {
	limiters []*Limiter

	mu          sync.Mutex
	demand      []float64
	shares      []Share
	unreachable map[string]bool
	calls       int
	owner       cataloger.Member
}

func newFleet(n int, limit documenter.Workspace) *fleet {
	f := &fleet{demand: make([]float64, n), shares: make([]Share, n), unreachable: map[string]bool{}}
	f.owner = cataloger.Member{Name: "entry-0", PeerAddress: "entry-0"}
	for i, m := range members(n) {
		l := New(timer.System{}, m.Name)
		l.Members = func() []Member {
			f.mu.Lock()
			defer f.mu.Unlock()
			ms := members(n)
			for j := range ms {
				ms[j].Suspect = f.unreachable[ms[j].Name]
			}
			return ms
		}
		l.Owner = func(string) cataloger.Member {
			f.mu.Lock()
			defer f.mu.Unlock()
			return f.owner
		}
		l.Usage = func() []Demand {
			f.mu.Lock()
			defer f.mu.Unlock()
			if f.demand[i] == 0 {
				return nil
			}
			return []Demand{{Key: key, Rate: f.demand[i], Wanted: f.demand[i]}}
		}
		l.Apply = func(shares map[Key]Share) {
			f.mu.Lock()
			defer f.mu.Unlock()
			if s, ok := shares[key]; ok {
				f.shares[i] = s
			}
		}
		l.Link = linker.Link{Call: func(ctx context.Context, address, method string, req, resp proto.Message) error {
			f.mu.Lock()
			unreachable := f.unreachable[m.Name]
			f.calls++
			f.mu.Unlock()
			if unreachable || method != Method {
				return refuser.New(refuser.PeerUnavailable, "cut")
			}
			body, err := proto.Marshal(req)
			if err != nil {
				return err
			}
			owner := slices.IndexFunc(f.limiters, func(l *Limiter) bool { return l.Self == address })
			answer, err := f.limiters[owner].Handle(ctx, m.Name, body)
			if err != nil {
				return err
			}
			proto.Merge(resp, answer)
			return nil
		}}
		l.Configure([]*documenter.Document{{Name: key.Service, Workspaces: []documenter.Workspace{limit}}})
		f.shares[i] = l.InitialShare(key.Service, limit)
		f.limiters = append(f.limiters, l)
	}
	return f
}

// sharesAfter changes the fleet, waits for d and returns the shares and the sum of their rates.
func (f *fleet) sharesAfter(d time.Duration, change func()) ([]Share, float64) {
	f.mu.Lock()
	change()
	f.mu.Unlock()
	time.Sleep(d)
	synctest.Wait()
	f.mu.Lock()
	defer f.mu.Unlock()
	sum := 0.0
	for _, s := range f.shares {
		sum += s.Rate
	}
	return slices.Clone(f.shares), sum
}

func TestFleetSharesALimit(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		f := newFleet(4, documenter.Workspace{Name: "counter", Rate: 100, Concurrency: 40})
		for _, l := range f.limiters {
			go func() { _ = l.Run(ctx) }()
		}
		shares, sum := f.sharesAfter(TTL+2*time.Second, func() { f.demand = []float64{0, 200, 0, 0} })
		require.Greater(t, shares[1].Rate, 85.0)
		require.LessOrEqual(t, sum, 100.0+1e-6)

		shares, sum = f.sharesAfter(3*time.Second, func() { f.demand = []float64{0, 20, 200, 0} })
		require.Greater(t, shares[2].Rate, 60.0, "the share follows demand")
		require.GreaterOrEqual(t, shares[1].Rate, 20.0)
		require.LessOrEqual(t, sum, 100.0+1e-6)

		shares, sum = f.sharesAfter(2*TTL+2*time.Second, func() { f.unreachable["entry-2"] = true })
		require.InDelta(t, 25, shares[2].Rate, 1e-6, "an even part while the owner cannot be reached")
		require.LessOrEqual(t, sum, 100.0+1e-6)

		shares, sum = f.sharesAfter(2*TTL+2*time.Second, func() {
			delete(f.unreachable, "entry-2")
			f.demand = []float64{0, 0, 0, 80}
		})
		require.Greater(t, shares[3].Rate, 80.0, "the shares of idle entries are released")
		require.LessOrEqual(t, sum, 100.0+1e-6)
		f.limiters[3].RequestShares()
		cancel()
		synctest.Wait()
	})
}

// configureManyLimits configures the limit and enough others that the life of shares may reach maxLife.
func (f *fleet) configureManyLimits(limit documenter.Workspace) {
	d := &documenter.Document{Name: key.Service, Workspaces: []documenter.Workspace{limit}}
	for i := range int(maxLife / lifePerLimit) {
		d.Workspaces = append(d.Workspaces, documenter.Workspace{Name: fmt.Sprint("other-", i), Rate: 1})
	}
	for _, l := range f.limiters {
		l.Configure([]*documenter.Document{d})
	}
}

// TestStableSharesAreReportedRarely checks that a stable share has a long life, and that its capacity can still move to
// another entry within seconds and the limit to another owner.
func TestStableSharesAreReportedRarely(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		limit := documenter.Workspace{Name: "counter", Rate: 100, Concurrency: 40}
		f := newFleet(4, limit)
		f.configureManyLimits(limit)
		for _, l := range f.limiters {
			go func() { _ = l.Run(ctx) }()
		}
		f.sharesAfter(2*maxLife, func() { f.demand = []float64{0, 10, 0, 0} })
		shares, _ := f.sharesAfter(2*maxLife, func() { f.calls = 0 })
		require.Greater(t, shares[1].Rate, 10.0)
		require.Less(t, shares[1].Rate, 20.0, "unused capacity stays free")
		f.mu.Lock()
		require.LessOrEqual(t, f.calls, 4)
		f.mu.Unlock()

		shares, sum := f.sharesAfter(2*time.Second, func() { f.demand = []float64{0, 10, 60, 0} })
		require.Greater(t, shares[2].Rate, 60.0, "another entry gets the rest immediately")
		require.LessOrEqual(t, sum, 100.0+1e-6)

		shares, sum = f.sharesAfter(idleTime+3*time.Second, func() { f.demand = []float64{0, 0, 90, 0} })
		require.Greater(t, shares[2].Rate, 90.0, "an idle entry releases its share")
		require.LessOrEqual(t, sum, 100.0+1e-6)

		f.sharesAfter(2*maxLife, func() { f.demand = []float64{0, 5, 5, 0} })
		f.sharesAfter(8*time.Second, func() { f.owner = cataloger.Member{Name: "entry-3", PeerAddress: "entry-3"} })
		shares, sum = f.sharesAfter(8*time.Second, func() { f.demand = []float64{80, 5, 5, 0} })
		require.Greater(t, shares[1].Rate, 5.0)
		require.Greater(t, shares[2].Rate, 5.0)
		require.LessOrEqual(t, sum, 100.0+1e-6, "the new owner has learned of the long-lived shares")

		shares, sum = f.sharesAfter(2*maxLife, func() { f.unreachable["entry-2"] = true })
		require.InDelta(t, 25, shares[2].Rate, 1e-6, "an even part while the owner cannot be reached")
		require.LessOrEqual(t, sum, 100.0+1e-6)
		cancel()
		synctest.Wait()
	})
}

func TestMaxLifeShrinksAfterEarlierGrantsExpire(t *testing.T) {
	l := life{longest: TTL}
	l.set(epoch, maxLife)
	l.set(epoch, TTL)
	require.Equal(t, maxLife, l.bound(epoch.Add(maxLife-time.Millisecond)))
	require.Equal(t, TTL, l.bound(epoch.Add(maxLife)))
}

// BenchmarkReport measures the cost of one key's report at the owner and the bytes of its request.
func BenchmarkReport(b *testing.B) {
	for _, n := range []int{4, 40, 100, 400} {
		b.Run(fmt.Sprint("members=", n), func(b *testing.B) {
			a := NewAllocator()
			ms := members(n)
			limit := Limit{Rate: 1000, Concurrency: 1000}
			r := Report{Demand: Demand{Key: key, Rate: 3, Wanted: 3}}
			for i := range b.N {
				r.Member = ms[i%n].Name
				// Each member reports every 5 s, as one with stable demand does.
				a.Report(epoch.Add(time.Duration(i)*5*time.Second/time.Duration(n)), limit, ms, r)
			}
			b.ReportMetric(float64(proto.Size(newLimitRequest("entry-100", []Report{r}))), "B/request")
		})
	}
}
