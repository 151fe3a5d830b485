package router

import (
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/rattantray/rattantray/internal/planner"
	"github.com/rattantray/rattantray/internal/selector"
)

const (
	testLayerBytes = 1 << 30
	// flowTolerance is the rounding error of the max-flow, in tokens a second.
	flowTolerance  = 0.01
	placedDocument = `
format: rattantray/service/v1
name: assistant
owner: tests
type: model
workspaces: [{name: counter}, {name: kiosk}]
model: {name: m, version: v1, layers: 8, layer-bytes: 1073741824}
limits: {deadline: 30s}
`
)

// withMemory gives each engine memory for a number of layers.
func withMemory(specs []engineSpec, layers uint64) []engineSpec {
	for i := range specs {
		specs[i].memory = layers * testLayerBytes
		specs[i].pullRate = 2 * testLayerBytes
	}
	return specs
}

func (w *world) versionBound(version string) float64 {
	return w.routers[0].router.selector.Bound(selector.Key{Name: "m", Version: version})
}

func TestRolloutInterruptsNoRequest(t *testing.T) {
	skipUnderRace(t)
	inWorld(t, 4, withMemory(fourChains(), 5), func(w *world) {
		w.apply(placedDocument)
		l := w.newLoad(16, 20*time.Second)
		l.versions = []string{"v1", "v2"}
		// The load is a third of the bound; the bound must not fall below it during the rollout.
		l.start(3, 2)
		const offered = float64(fleetBound) / 3
		time.Sleep(5 * time.Second)
		w.apply(strings.Replace(placedDocument, "version: v1", "version: v2", 1))
		begun := time.Now()
		for w.versionBound("v2") < fleetBound-flowTolerance || w.versionBound("v1") > 0 {
			require.Less(t, time.Since(begun), 3*time.Minute, "v1 %.0f v2 %.0f", w.versionBound("v1"), w.versionBound("v2"))
			time.Sleep(time.Second)
			require.GreaterOrEqual(t, w.versionBound("v1")+w.versionBound("v2"), offered-flowTolerance, "the bound fell below the offered load")
		}
		took := time.Since(begun)
		time.Sleep(4 * time.Second)
		end := time.Since(l.startedAt)
		l.finish()
		a := l.audit()
		t.Logf("rolled out in %s, answered %d, refusals %v, tokens in each second %s", took, a.answered, a.codes, l.rateSeries(end))
		a.check(w)
		require.Empty(t, a.codes, "a rollout made a request fail")
	})
}

// TestUnloadCutsNoStream guards against answers that a rollout breaks in the middle, as it unloads what they still run on.
func TestUnloadCutsNoStream(t *testing.T) {
	skipUnderRace(t)
	specs := withMemory(fourChains(), 5)
	for i := range specs {
		specs[i].cutOnUnload = true
	}
	inWorld(t, 4, specs, func(w *world) {
		w.apply(placedDocument)
		l := w.newLoad(16, 20*time.Second)
		l.versions = []string{"v1", "v2"}
		l.start(3, 0)
		time.Sleep(10 * time.Second)
		w.apply(strings.Replace(placedDocument, "version: v1", "version: v2", 1))
		for begun := time.Now(); w.versionBound("v2") == 0; time.Sleep(time.Second) {
			require.Less(t, time.Since(begun), 3*time.Minute)
		}
		l.finish()
		broken := int64(0)
		for _, d := range w.routers {
			broken += d.router.meter.Counter("dispatcher.failed.broken").Count()
		}
		require.Zero(t, broken, "streams that an unload broke")
	})
}

func TestJoiningEngineIsUsed(t *testing.T) {
	specs := fourChains()
	// The last two engines start without layers.
	specs[6].first, specs[6].end = 0, 0
	specs[7].first, specs[7].end = 0, 0
	inWorld(t, 4, withMemory(specs, 5), func(w *world) {
		// The weights reflect the states of targets after one or two updates.
		time.Sleep(2 * time.Second)
		require.InDelta(t, fleetBound-chainRate, w.versionBound("v1"), flowTolerance)
		w.apply(placedDocument)
		begun := time.Now()
		for w.versionBound("v1") < fleetBound-flowTolerance {
			require.Less(t, time.Since(begun), 2*time.Minute, "bound %.0f", w.versionBound("v1"))
			time.Sleep(500 * time.Millisecond)
		}
		t.Logf("the bound rose from %d to %.0f in %s", fleetBound-chainRate, w.versionBound("v1"), time.Since(begun))
	})
}

// TestNewPlannerKnowsTheLoad guards against a planner that lets the bound fall below the load, as it has just taken the duty over
// from a daemon that was stopped and has no reports of the load yet.
func TestNewPlannerKnowsTheLoad(t *testing.T) {
	skipUnderRace(t)
	inWorld(t, 4, withMemory(fourChains(), 5), func(w *world) {
		w.apply(placedDocument)
		l := w.newLoad(16, 20*time.Second)
		l.start(3, 0)
		time.Sleep(15 * time.Second)
		first, before := w.planner(nil)
		require.GreaterOrEqual(t, before, fleetBound/3.0)
		first.stop()
		for range 2000 {
			time.Sleep(10 * time.Millisecond)
			if _, offered := w.planner(first); offered >= 0 {
				require.GreaterOrEqual(t, offered, fleetBound/3.0, "the first plan of the next planner")
				break
			}
		}
		l.finish()
	})
}

// TestPlannerCountsAnswersInProgress guards against a planner that lets the bound fall below the load, as long answers count only
// once they are complete.
func TestPlannerCountsAnswersInProgress(t *testing.T) {
	skipUnderRace(t)
	inWorld(t, 4, withMemory(fourChains(), 5), func(w *world) {
		w.apply(placedDocument)
		time.Sleep(15 * time.Second)
		l := w.newLoad(500, 30*time.Second)
		l.start(3, 0)
		time.Sleep(12 * time.Second)
		require.Zero(t, l.audit().answered, "answers in progress")
		_, offered := w.planner(nil)
		delivered := l.rate(6*time.Second, 12*time.Second)
		require.GreaterOrEqual(t, offered, delivered, "%.0f tokens a second are delivered", delivered)
		l.finish()
	})
}

// TestNewPlannerDropsNothingUnheard guards against a planner that takes down what serves an unknown load: it has the duty, a new
// version is wanted, and no daemon has reported to it yet.
func TestNewPlannerDropsNothingUnheard(t *testing.T) {
	skipUnderRace(t)
	inWorld(t, 4, withMemory(fourChains(), 5), func(w *world) {
		w.apply(placedDocument)
		time.Sleep(15 * time.Second)
		holder, _ := w.planner(nil)
		w.apply(strings.Replace(placedDocument, "version: v1", "version: v2", 1))
		r := holder.router
		unheard := &placement{router: r, demands: newDemandTracker(r.Clock), progress: newProgress()}
		plan := func(assignedAt time.Time) planner.Placement {
			return unheard.computePlan(planner.New(), "m", assignedAt, unheard.assignedTargets("m"))
		}
		now := r.Clock.Now()
		placed := plan(now)
		require.Empty(t, placed.Changes)
		require.Contains(t, placed.BlockedReason, "not known yet")
		require.Positive(t, placed.Bound)
		require.InDelta(t, placed.Bound, unheard.progress.report("m", now).Offered, flowTolerance, "the load that is kept")
		require.NotEmpty(t, plan(now.Add(-unheard.loadKnownAfter())).Changes, "an idle fleet is rolled out")
		require.Greater(t, unheard.loadKnownAfter(), 2*unheard.demandInterval())
	})
}

// planner returns the daemon that plans the model, other than a given one, and the load that it last planned for; the load is
// negative if there is none.
func (w *world) planner(other *daemon) (*daemon, float64) {
	for _, d := range w.routers {
		if d == other {
			continue
		}
		p := d.router.placement.progress
		p.mu.Lock()
		m := p.models["m"]
		p.mu.Unlock()
		if m != nil {
			return d, m.offered
		}
	}
	return nil, -1
}
