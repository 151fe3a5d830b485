package subscriber

import "github.com/rcrowley/go-metrics"

// counters holds the metrics of a subscriber.
type counters struct {
	events, gaps, duplicates, breaks metrics.Counter
	streams                          metrics.Gauge
}

func newCounters(registry metrics.Registry) counters {
	return counters{
		events:     metrics.GetOrRegisterCounter("subscriber.events", registry),
		gaps:       metrics.GetOrRegisterCounter("subscriber.gaps", registry),
		duplicates: metrics.GetOrRegisterCounter("subscriber.duplicates", registry),
		breaks:     metrics.GetOrRegisterCounter("subscriber.breaks", registry),
		streams:    metrics.GetOrRegisterGauge("subscriber.streams", registry),
	}
}
