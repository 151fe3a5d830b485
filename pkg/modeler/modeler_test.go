package modeler

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// testSpec has times that are easy to add: a step of all layers takes 10 ms, and the prefill of 1,000 tokens 100 ms.
func testSpec() Spec {
	return Spec{
		Layers: 10, LayerBytes: 1e9, TokenBytes: 1e6, StepTime: 10 * time.Millisecond, PrefillRate: 10_000, ChunkTokens: 500, Slots: 4, Queue: 2,
		EventTokens: 2, OneWayDelay: time.Millisecond, PipeBytesPerSecond: 1e9, ActivationBytes: 1e5, LoadTime: 10 * time.Second, MaxConcurrentLoads: 2,
		StallTime: 2 * time.Second, ReportLag: 200 * time.Millisecond,
		Kinds: map[string]Kind{"l4": {MemoryBytes: 6e9, Pace: 1, PrefillFactor: 1}},
	}
}

// newPipeline returns a fleet with a target in each data centre, each with half of the layers, and the path over them.
func newPipeline(dataCentres ...string) (*Fleet, []Stage) {
	f := New(testSpec())
	var path []Stage
	for i, dc := range dataCentres {
		name := fmt.Sprint("t", i)
		f.Add(name, dc, "l4")
		f.LoadLayers(name, uint32(i*5), uint32(i*5+5), true, nil)
		path = append(path, Stage{Target: name, First: uint32(i * 5), End: uint32(i*5 + 5)})
	}
	f.Run(10 * time.Second)
	return f, path
}

// record collects the events and the outcome of a generation.
type record struct {
	events  []time.Duration
	outcome Outcome
	at      string
	ended   time.Duration
}

func (r *record) observer(f *Fleet) Observer {
	return Observer{
		Event: func(int) { r.events = append(r.events, f.Now()) },
		End:   func(o Outcome, at string) { r.outcome, r.at, r.ended = o, at, f.Now() },
	}
}

func TestTimesOfOneGeneration(t *testing.T) {
	f, path := newPipeline("a", "a")
	r := &record{}
	began := f.Now()
	f.Send(Request{ID: "r", PromptTokens: 400, AnswerTokens: 6}, path, r.observer(f))
	f.Run(20 * time.Second)
	require.Equal(t, OutcomeDone, r.outcome)
	require.Len(t, r.events, 3)
	// The prefill of 400 tokens takes 20 ms at each half and generates the first token; each further token takes 5 ms at each half.
	require.Equal(t, 50*time.Millisecond, r.events[0]-began)
	require.Equal(t, 20*time.Millisecond, r.events[1]-r.events[0])
}

func TestCrossingAddsDelayAndPipeTime(t *testing.T) {
	f, path := newPipeline("a", "b")
	r := &record{}
	began := f.Now()
	f.Send(Request{ID: "r", PromptTokens: 400, AnswerTokens: 2}, path, r.observer(f))
	f.Run(20 * time.Second)
	// The transfer of the prompt's 40 MB takes 40 ms, that of a token 0.1 ms, and each crossing adds 1 ms.
	require.Equal(t, 40*time.Millisecond+41*time.Millisecond+10*time.Millisecond+2*1100*time.Microsecond, r.events[0]-began)
}

func TestRequestsShareAPass(t *testing.T) {
	f, path := newPipeline("a", "a")
	var records [3]record
	for i := range records {
		f.Send(Request{ID: fmt.Sprint(i), PromptTokens: 10, AnswerTokens: 40}, path, records[i].observer(f))
	}
	f.Run(60 * time.Second)
	alone := 40 * 10 * time.Millisecond
	for _, r := range records {
		require.Equal(t, OutcomeDone, r.outcome)
		require.Less(t, r.ended-10*time.Second, 2*alone, "three requests share their passes")
	}
}

func TestRefusals(t *testing.T) {
	f, path := newPipeline("a", "a")
	for _, c := range []struct {
		name   string
		path   []Stage
		prompt int
		at     string
	}{
		{"layers not held", []Stage{{"t0", 0, 6}, {"t1", 6, 10}}, 10, "t0"},
		{"prompt exceeds the memory", path, 3000, "t0"},
	} {
		r := &record{}
		f.Send(Request{ID: c.name, PromptTokens: c.prompt, AnswerTokens: 2}, c.path, r.observer(f))
		require.Equal(t, OutcomeRefused, r.outcome, c.name)
		require.Equal(t, c.at, r.at, c.name)
	}
	for i := range 7 {
		r := &record{}
		f.Send(Request{ID: fmt.Sprint(i), PromptTokens: 1, AnswerTokens: 100}, path, r.observer(f))
		require.Equal(t, i == 6, r.outcome == OutcomeRefused, "slots and queue hold six")
	}
}

func TestNewestIsPreemptedWhenMemoryRunsOut(t *testing.T) {
	f, path := newPipeline("a", "a")
	var records [2]record
	// Each holds 2,000 tokens at its end; a stage of half the layers has capacity for 2,000.
	for i := range records {
		f.Send(Request{ID: fmt.Sprint(i), PromptTokens: 900, AnswerTokens: 300}, path, records[i].observer(f))
	}
	f.Run(60 * time.Second)
	require.Equal(t, OutcomeDone, records[0].outcome)
	require.Equal(t, OutcomeDone, records[1].outcome)
	require.Greater(t, records[1].ended, records[0].ended)
}

func TestLostStageStallsAndIsReported(t *testing.T) {
	f, path := newPipeline("a", "a")
	r := &record{}
	f.Send(Request{ID: "r", PromptTokens: 10, AnswerTokens: 1000}, path, r.observer(f))
	f.Run(11 * time.Second)
	f.Crash("t1")
	var stalled map[string]string
	f.QueryReport("t0", func(r Report) { stalled = r.Stalled })
	f.Run(11*time.Second + f.Spec.ReportLag)
	require.Equal(t, map[string]string{"r": "t1"}, stalled)
	f.Run(20 * time.Second)
	require.Equal(t, OutcomeCut, r.outcome)
	require.Equal(t, 13*time.Second, r.ended)
}

func TestRepathContinuesTheGeneration(t *testing.T) {
	f, path := newPipeline("a", "a")
	f.Add("spare", "a", "l4")
	f.LoadLayers("spare", 5, 10, true, nil)
	f.Run(20 * time.Second)
	r := &record{}
	f.Send(Request{ID: "r", PromptTokens: 10, AnswerTokens: 100}, path, r.observer(f))
	f.Run(20*time.Second + 200*time.Millisecond)
	f.Crash("t1")
	before := len(r.events)
	require.False(t, f.Repath("r", []Stage{{"spare", 0, 5}, {"t1", 5, 10}}), "the first stage must not change")
	require.True(t, f.Repath("r", []Stage{path[0], {"spare", 5, 10}}))
	f.Run(40 * time.Second)
	require.Equal(t, OutcomeDone, r.outcome)
	require.Len(t, r.events, 50)
	require.Less(t, before, 50)
}

func TestLoadsShareTheStore(t *testing.T) {
	f := New(testSpec())
	var done []time.Duration
	for i := range 4 {
		name := fmt.Sprint("t", i)
		f.Add(name, "a", "l4")
		f.LoadLayers(name, 0, 5, false, func() { done = append(done, f.Now()) })
	}
	f.Run(time.Minute)
	require.Equal(t, []time.Duration{5 * time.Second, 5 * time.Second, 7500 * time.Millisecond, 10 * time.Second}, done)
}

// A transfer from one data centre to another must not delay transfers in the other direction or to a third data centre.
func TestPipesOfOtherHopsAreIdle(t *testing.T) {
	f := New(testSpec())
	for _, dc := range []string{"a", "b", "c"} {
		f.Add(dc, dc, "l4")
	}
	a, b, c := f.targets["a"], f.targets["b"], f.targets["c"]
	// 1,000 tokens are 100 MB, a tenth of a second of the pipe.
	require.Equal(t, 101*time.Millisecond, f.transfer(a, b, 1000))
	require.Equal(t, 201*time.Millisecond, f.transfer(a, b, 1000))
	require.Equal(t, 101*time.Millisecond, f.transfer(b, a, 1000))
	require.Equal(t, 101*time.Millisecond, f.transfer(a, c, 1000))
}
