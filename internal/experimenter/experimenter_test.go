package experimenter

import (
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// testLength covers the disruptions of the examples except the last.
const testLength = 22 * time.Second

// scenario returns an example, limited to one seed and to testLength.
func scenario(t *testing.T, name string, policies ...string) *Scenario {
	file, err := os.Open(filepath.Join("..", "..", "docs", "examples", "experiments", name+".yaml"))
	require.NoError(t, err)
	defer func() { _ = file.Close() }()
	s, err := Parse(file)
	require.NoError(t, err)
	s.Seeds = s.Seeds[:1]
	s.Length = min(s.Length, testLength)
	if len(policies) > 0 {
		s.Policies = policies
	}
	return s
}

func means(s *Scenario) map[string]Mean {
	out := map[string]Mean{}
	for _, m := range Run(s, func() {}).Means() {
		out[m.Policy] = m
	}
	return out
}

// Each load pattern has its own test. The bounds are the stated goals: all requests are served if no target is lost, and no
// policy without the product's decisions does better.

func TestBurst(t *testing.T) {
	m := means(scenario(t, "burst", "product", "static-pipelines"))
	require.InDelta(t, 1, m["product"].Served, 0.01)
	require.GreaterOrEqual(t, m["product"].OnTime, m["static-pipelines"].OnTime)
}

func TestClientsThatDisconnect(t *testing.T) {
	m := means(scenario(t, "clients-leave", "product", "static-pipelines"))
	require.InDelta(t, 1, m["product"].Served, 0.01)
	require.GreaterOrEqual(t, m["product"].OnTime, m["static-pipelines"].OnTime)
}

func TestStageLostUnderLoad(t *testing.T) {
	m := means(scenario(t, "stage-lost", "product", "static-pipelines"))
	require.Greater(t, m["product"].OnTime, m["static-pipelines"].OnTime)
	require.Less(t, m["product"].Failed, m["static-pipelines"].Failed)
}

func TestStagesLostWithoutCopyInTheirDataCentre(t *testing.T) {
	s := scenario(t, "stages-lost-across", "product", "static-pipelines")
	s.Length = 12 * time.Second // covers the first losses; simulating a fleet that breaks down is slow
	m := means(s)
	require.Greater(t, m["product"].Served, m["static-pipelines"].Served)
	require.Greater(t, m["product"].OnTime, m["static-pipelines"].OnTime)
}

func TestImmediateRetries(t *testing.T) {
	m := means(scenario(t, "repeats-at-once", "product", "static-pipelines"))
	require.Greater(t, m["product"].Served, m["static-pipelines"].Served)
}

func TestSlowStages(t *testing.T) {
	m := means(scenario(t, "slow-stages", "product", "static-pipelines"))
	require.InDelta(t, 1, m["product"].Served, 0.01)
	require.GreaterOrEqual(t, m["product"].OnTime, m["static-pipelines"].OnTime)
}

// Two seconds after the end of a burst, all new requests must be on time again.
func TestGoodputRecoversAfterABurst(t *testing.T) {
	s := scenario(t, "burst", "product")
	result := Run(s, func() {}).Results[0]
	burst := s.Load.Bursts[0]
	from := int((burst.At + burst.Duration + 2*time.Second) / time.Second)
	// The last seconds include requests that are still in progress.
	for i, second := range result.Seconds[from : from+2] {
		require.Zero(t, second[OutcomeLate]+second[OutcomeRefused]+second[OutcomeFailed], "second %d", from+i)
	}
}

func TestHotKey(t *testing.T) {
	m := means(scenario(t, "hot-key", "product", "static-pipelines"))
	require.InDelta(t, 1, m["product"].Served, 0.01)
	require.GreaterOrEqual(t, m["product"].OnTime, m["static-pipelines"].OnTime)
}

// Requests without an event at the restart must be served by a retry, and two seconds after the processes are back all new
// requests must be on time again.
func TestAllProcessesRestarted(t *testing.T) {
	s := scenario(t, "all-restarted", "product")
	result := Run(s, func() {}).Results[0]
	restart := s.Disruptions[0]
	at, back := int(restart.At/time.Second), int((restart.At+restart.Duration)/time.Second)+1
	require.Positive(t, result.Seconds[at-1][OutcomeFailed], "answers in progress are aborted")
	for i, second := range result.Seconds[at+1:] {
		require.Zero(t, second[OutcomeRefused]+second[OutcomeFailed], "second %d", at+1+i)
	}
	for i, second := range result.Seconds[back+2 : back+4] {
		require.Zero(t, second[OutcomeLate], "second %d", back+2+i)
	}
}

func TestSeedIsReproducible(t *testing.T) {
	s := scenario(t, "stage-lost", "product")
	s.Length = 12 * time.Second
	first, second := Run(s, func() {}), Run(s, func() {})
	require.Equal(t, first.Results[0].Seconds, second.Results[0].Seconds)
}

func TestReportPageHasPlots(t *testing.T) {
	s := scenario(t, "calm")
	s.Length, s.Policies = 3*time.Second, []string{"product", "static-pipelines"}
	var b strings.Builder
	require.NoError(t, Run(s, func() {}).WriteHTML(&b))
	require.Equal(t, len(plottedOutcomes), strings.Count(b.String(), "<svg"))
	require.Contains(t, b.String(), "static-pipelines")
}

func TestParseNamesInvalidFields(t *testing.T) {
	document, err := os.ReadFile(filepath.Join("..", "..", "docs", "examples", "experiments", "stage-lost.yaml"))
	require.NoError(t, err)
	for _, c := range []struct{ old, replacement, want string }{
		{"seeds: [1, 2, 3]", "seeds: []", "seeds"},
		{"layers: 80", "layers: 0", "model"},
		{"layers: 80", "layer: 80", "line"},
		{"kind: lose, count: 2", "kind: loose, count: 2", "troubles[1]"},
		{"kind: l4, count: 5", "kind: h100, count: 5", "targets[4]"},
		{"policies: [product,", "policies: [best,", "least-outstanding, product, static-pipelines"},
		{"rate: 62", "rate: -1", "load"},
		{"retries: 1", "retries: 1\n  hot-keys: [{at: 1s, for: 1s, share: 2, prompt: 1, answer: 1}]", "load.hot-keys[0]"},
		{"kind: lose, count: 2", "kind: restart-all", "troubles[1]"},
	} {
		require.Contains(t, string(document), c.old)
		_, err := Parse(strings.NewReader(strings.Replace(string(document), c.old, c.replacement, 1)))
		require.ErrorContains(t, err, c.want, c.replacement)
	}
}
