package meter

import (
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"net/http"
	"slices"
	"strconv"
	"strings"

	metrics "github.com/rcrowley/go-metrics"
)

const namePrefix = "rattantray_"

var quantiles = []float64{0.5, 0.95, 0.99}

// Sample is the current value of a series.
type Sample struct {
	Name string `json:"name"`
	// Labels maps names of labels to their values.
	Labels map[string]string `json:"labels,omitempty"`
	Value  float64           `json:"value"`
}

// Samples returns every series, sorted by name.
func (m *Meter) Samples() []Sample {
	var out []Sample
	m.Registry.Each(func(name string, metric any) { out = appendMetric(out, name, nil, metric) })
	m.mu.RLock()
	workspaces := maps.Clone(m.workspaces)
	services := maps.Clone(m.services)
	results := maps.Clone(m.results)
	m.mu.RUnlock()
	for name, s := range workspaces {
		out = s.appendSamples(out, map[string]string{"workspace": name})
	}
	for name, s := range services {
		out = s.appendSamples(out, map[string]string{"class": name})
	}
	for code, c := range results {
		labels := map[string]string{"code": strconv.Itoa(int(code)), "name": code.String()}
		out = append(out, Sample{Name: "request-results", Labels: labels, Value: float64(c.Count())})
	}
	slices.SortFunc(out, func(a, b Sample) int {
		return strings.Compare(a.Name+labelText(a.Labels), b.Name+labelText(b.Labels))
	})
	return out
}

func (s *series) appendSamples(out []Sample, labels map[string]string) []Sample {
	out = append(out,
		Sample{Name: "requests", Labels: labels, Value: float64(s.requests.Count())},
		Sample{Name: "tokens", Labels: labels, Value: float64(s.tokens.Count())},
	)
	for _, name := range Histograms {
		out = appendMetric(out, name, labels, s.histograms[name])
	}
	return out
}

func appendMetric(out []Sample, name string, labels map[string]string, metric any) []Sample {
	switch v := metric.(type) {
	case metrics.Counter:
		return append(out, Sample{name, labels, float64(v.Count())})
	case metrics.Gauge:
		return append(out, Sample{name, labels, float64(v.Value())})
	case metrics.GaugeFloat64:
		return append(out, Sample{name, labels, v.Value()})
	case metrics.Meter:
		return append(out, Sample{name, labels, v.Rate1()})
	case metrics.Histogram:
		return appendHistogram(out, name, labels, v.Snapshot())
	case metrics.Timer:
		return append(out, Sample{name, labels, v.Mean()})
	}
	return out
}

func appendHistogram(out []Sample, name string, labels map[string]string, h metrics.Histogram) []Sample {
	values := h.Percentiles(quantiles)
	for i, q := range quantiles {
		withQuantile := maps.Clone(labels)
		if withQuantile == nil {
			withQuantile = map[string]string{}
		}
		withQuantile["quantile"] = strconv.FormatFloat(q, 'g', -1, 64)
		out = append(out, Sample{name, withQuantile, values[i]})
	}
	return append(out, Sample{name + "-count", labels, float64(h.Count())})
}

// nameReplacer replaces characters that the text format does not allow in names.
var nameReplacer = strings.NewReplacer("-", "_", ".", "_")

// WriteText writes one line for each series. It returns the error of the first write that fails.
func (m *Meter) WriteText(w io.Writer) error {
	for _, s := range m.Samples() {
		name := namePrefix + nameReplacer.Replace(s.Name)
		value := strconv.FormatFloat(s.Value, 'g', -1, 64)
		if _, err := fmt.Fprintf(w, "%s%s %s\n", name, labelText(s.Labels), value); err != nil {
			return err
		}
	}
	return nil
}

// ServeHTTP writes the metrics as text, or as JSON if the request accepts it or has ?format=json.
func (m *Meter) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.URL.Query().Get("format") == "json" || strings.Contains(r.Header.Get("Accept"), "application/json") {
		w.Header().Set("Content-Type", "application/json")
		_ = json.NewEncoder(w).Encode(m.Samples())
		return
	}
	w.Header().Set("Content-Type", "text/plain; charset=utf-8")
	_ = m.WriteText(w)
}

func labelText(labels map[string]string) string {
	if len(labels) == 0 {
		return ""
	}
	pairs := make([]string, 0, len(labels))
	for _, k := range slices.Sorted(maps.Keys(labels)) {
		pairs = append(pairs, fmt.Sprintf("%s=%q", k, labels[k]))
	}
	return "{" + strings.Join(pairs, ",") + "}"
}
