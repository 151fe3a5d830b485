package configurer

import (
	"context"
	"flag"
	"fmt"
	"runtime"
	"strings"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/rattantray/rattantray/internal/documenter"
	"github.com/rattantray/rattantray/internal/storer"
	v1 "github.com/rattantray/rattantray/pkg/api/rattantray/v1"
)

var (
	measureDaemons    = flag.Int("daemons", 8, "daemons of TestMeasureSpread")
	measureWorkspaces = flag.Int("workspaces", 1300, "workspaces in the document that TestMeasureSpread changes")
	measureMinutes    = flag.Int("minutes", 1, "virtual minutes that TestMeasureSpread runs")
)

// The budget of a daemon for control traffic.
const (
	budgetBytesPerSecond = 9_000
	budgetCoreShare      = 0.013
	// changesPerSecond is 17,000 changes a day.
	changesPerSecond = 17_000.0 / 86_400
	// framingBytes is the overhead of a call beside its bodies: envelopes, stream frames and packet headers, both ways.
	framingBytes = 300
)

func largeDocument(workspaces int) *documenter.Document {
	doc := &documenter.Document{
		Format: documenter.Format, Name: "reader", Owner: "desk", Type: documenter.TypeModel,
		Model: &documenter.Model{Name: "reader", Version: "2026-11", Layers: 48, LayerBytes: 1 << 30, ActivationBytes: 16384},
	}
	for i := range workspaces {
		doc.Workspaces = append(doc.Workspaces, documenter.Workspace{
			Name:        fmt.Sprintf("agency-%d-%s", i, strings.Repeat(string(rune('a'+i%26)), 1+i%9)),
			Share:       1 + float64(i*7919%13),
			Rate:        1 + float64(i*104729%50),
			Concurrency: 1 + i*1299709%60,
		})
	}
	return doc
}

func cpu() time.Duration {
	var u syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &u); err != nil {
		panic(err)
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

// Changes arrive at the design's rate, each to one workspace of a large document; the traffic and processor time of a
// daemon stay within the budget.
func TestMeasureSpread(t *testing.T) {
	daemons, changes := *measureDaemons, int(float64(*measureMinutes)*60*changesPerSecond)
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 1, daemons, min(13, max(1, daemons/3)))
		f.wrapStore = f.meterStore
		f.startAll()
		defer f.stopAll()
		f.waitReady()
		doc := largeDocument(*measureWorkspaces)
		version := f.applyDocument(doc, 0)
		f.waitInForce("reader", version, 30*time.Second)
		time.Sleep(time.Minute)
		f.resetMeters()
		runtime.GC()
		start, startCPU := time.Now(), cpu()
		worst := time.Duration(0)
		for i := range changes {
			doc.Workspaces[i*31%len(doc.Workspaces)].Concurrency += 1 + i
			version = f.applyDocument(doc, version)
			worst = max(worst, f.waitInForce("reader", version, maxSpreadTime))
			time.Sleep(time.Until(start.Add(time.Duration(float64(i+1) / changesPerSecond * float64(time.Second)))))
		}
		seconds := time.Since(start).Seconds()
		core := (cpu() - startCPU).Seconds() / seconds / float64(daemons)
		mean, peak, messages, store := f.meters(seconds)
		o, err := f.platform.Store().Get(t.Context(), key("reader"))
		require.NoError(t, err)
		t.Logf("daemons=%d changes=%d document=%dB stored=%dB worst-in-force=%s", daemons, changes, len(documenter.Marshal(doc)), len(o.Value), worst)
		runtime.GC()
		var memory runtime.MemStats
		runtime.ReadMemStats(&memory)
		t.Logf("heap per daemon, including its share of the fakes: %d KB", memory.HeapAlloc/uint64(daemons)/1024)
		t.Logf("per daemon: core=%.4f%% calls=%.2f/s peer-bytes mean=%.0f/s peak=%.0f/s store-bytes peak=%.0f/s", core*100, messages, mean, peak, store)
		require.Less(t, peak+store, float64(budgetBytesPerSecond))
		if !raceEnabled {
			require.Less(t, core, budgetCoreShare)
		}
	})
}

func (f *fleet) applyDocument(doc *documenter.Document, expected uint64) uint64 {
	d := f.daemons[int(expected)%len(f.daemons)]
	resp, err := d.Apply(f.ctx, &v1.ApplyRequest{Document: documenter.Marshal(doc), ExpectedVersion: &expected})
	require.NoError(f.t, err)
	require.Equal(f.t, accepted, resp.Result, "%v", resp)
	return resp.Version
}

// meter counts the traffic in and out of one daemon.
type meter struct {
	bytes float64
	calls float64
	store float64
}

func (f *fleet) resetMeters() {
	f.mu.Lock()
	defer f.mu.Unlock()
	clear(f.traffic)
}

func (f *fleet) count(a, b string, bytes int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, name := range []string{a, b} {
		m := f.traffic[name]
		m.bytes += float64(bytes + framingBytes)
		m.calls++
		f.traffic[name] = m
	}
}

// meters returns rates per second over the daemons: the mean and the maximum of bytes to and from peers, the mean of
// calls and the maximum of bytes from the store.
func (f *fleet) meters(seconds float64) (mean, peak, calls, store float64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, m := range f.traffic {
		mean += m.bytes / seconds / float64(len(f.daemons))
		calls += m.calls / seconds / float64(len(f.daemons))
		peak = max(peak, m.bytes/seconds)
		store = max(store, m.store/seconds)
	}
	return mean, peak, calls, store
}

// meterStore counts the bytes of values in lists and watch events; an operator's own change is not control traffic.
func (f *fleet) meterStore(d *daemon, s storer.Store) storer.Store {
	add := func(bytes int) {
		f.mu.Lock()
		defer f.mu.Unlock()
		m := f.traffic[d.member.Name]
		m.store += float64(bytes)
		f.traffic[d.member.Name] = m
	}
	list, watch := s.List, s.Watch
	s.List = func(ctx context.Context, prefix string) ([]storer.Object, storer.Point, error) {
		objects, revision, err := list(ctx, prefix)
		for _, o := range objects {
			add(len(o.Value) + framingBytes)
		}
		return objects, revision, err
	}
	s.Watch = func(ctx context.Context, prefix string, after storer.Point, emit func(storer.Event) error) error {
		return watch(ctx, prefix, after, func(e storer.Event) error {
			add(len(e.Object.Value) + framingBytes)
			return emit(e)
		})
	}
	return s
}
