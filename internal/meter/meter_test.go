package meter

import (
	"encoding/json"
	"fmt"
	"net/http/httptest"
	"runtime"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/rattantray/rattantray/pkg/refuser"
)

func sampleValue(t *testing.T, m *Meter, name string, labels map[string]string) float64 {
	t.Helper()
	for _, s := range m.Samples() {
		if s.Name == name && labelText(s.Labels) == labelText(labels) {
			return s.Value
		}
	}
	require.Failf(t, "no such series", "%s%s", name, labelText(labels))
	return 0
}

func TestObserveCountsPerWorkspaceAndService(t *testing.T) {
	m := New()
	m.Observe(Request{Workspace: "counter", Service: "assistant", FirstToken: time.Millisecond, Total: 2 * time.Millisecond, QueueWait: -1, Tokens: 5})
	m.Observe(Request{Workspace: "kiosk", Service: "assistant", Code: refuser.QueueFull, FirstToken: -1, Total: -1, QueueWait: -1})
	m.ObserveTokenGap("counter", "assistant", 3*time.Millisecond)
	require.Equal(t, 1.0, sampleValue(t, m, "requests", map[string]string{"workspace": "counter"}))
	require.Equal(t, 2.0, sampleValue(t, m, "requests", map[string]string{"class": "assistant"}))
	require.Equal(t, 5.0, sampleValue(t, m, "tokens", map[string]string{"class": "assistant"}))
	require.Equal(t, 1000.0, sampleValue(t, m, FirstToken, map[string]string{"workspace": "counter", "quantile": "0.95"}))
	require.Equal(t, 3000.0, sampleValue(t, m, InterToken, map[string]string{"class": "assistant", "quantile": "0.5"}))
	require.Equal(t, 0.0, sampleValue(t, m, QueueWait+"-count", map[string]string{"class": "assistant"}))
	require.Equal(t, 1.0, sampleValue(t, m, "request-results", map[string]string{"code": "202", "name": "queue-full"}))
}

func TestWorkspacesOverTheBoundShareSeries(t *testing.T) {
	m := New()
	m.MaxWorkspaces = 2
	for i := range 10 {
		m.Observe(Request{Workspace: fmt.Sprintf("w%d", i), Service: "assistant"})
	}
	require.Equal(t, 8.0, sampleValue(t, m, "requests", map[string]string{"workspace": OtherWorkspace}))
	require.Equal(t, 1.0, sampleValue(t, m, "requests", map[string]string{"workspace": "w1"}))
}

func TestServeHTTPAsTextAndJSON(t *testing.T) {
	m := New()
	m.RegisterGauge("bound", func() float64 { return 12.5 })
	m.Counter("parts-dropped").Inc(3)
	m.Counter("dispatcher.failed.stalled").Inc(1)
	text := httptest.NewRecorder()
	m.ServeHTTP(text, httptest.NewRequest("GET", "/metrics", nil))
	require.Contains(t, text.Body.String(), "rattantray_bound 12.5\n")
	require.Contains(t, text.Body.String(), "rattantray_parts_dropped 3\n")
	require.Contains(t, text.Body.String(), "rattantray_dispatcher_failed_stalled 1\n")

	asJSON := httptest.NewRecorder()
	m.ServeHTTP(asJSON, httptest.NewRequest("GET", "/metrics?format=json", nil))
	var samples []Sample
	require.NoError(t, json.Unmarshal(asJSON.Body.Bytes(), &samples))
	require.Equal(t, Sample{Name: "bound", Value: 12.5}, samples[0])
	require.True(t, strings.HasPrefix(asJSON.Header().Get("Content-Type"), "application/json"))
}

func BenchmarkObserve(b *testing.B) {
	for _, workspaces := range []int{10, 100, 1300} {
		b.Run(fmt.Sprintf("workspaces=%d", workspaces), func(b *testing.B) {
			m := New()
			names := make([]string, workspaces)
			for i := range names {
				names[i] = fmt.Sprintf("workspace-%d", i)
			}
			before := heapBytes()
			for i := 0; b.Loop(); i++ {
				m.Observe(Request{Workspace: names[i%workspaces], Service: "assistant", FirstToken: time.Millisecond, Total: time.Second, Tokens: 100})
			}
			for i := range 200 * workspaces {
				m.Observe(Request{Workspace: names[i%workspaces], Service: "assistant", FirstToken: time.Millisecond, Total: time.Second})
				m.ObserveTokenGap(names[i%workspaces], "assistant", time.Millisecond)
			}
			b.ReportMetric(float64(heapBytes()-before)/float64(workspaces), "heap-bytes/workspace")
			runtime.KeepAlive(m)
		})
	}
}

func heapBytes() uint64 {
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return stats.HeapAlloc
}
