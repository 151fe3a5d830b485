package dispatcher

import (
	"github.com/rcrowley/go-metrics"

	"github.com/rattantray/rattantray/internal/verifier"
)

// counters are the dispatcher's metrics.
type counters struct {
	attempts    metrics.Counter
	tokens      metrics.Counter
	resumed     metrics.Counter
	imported    metrics.Counter
	prefilled   metrics.Counter
	slowStreams metrics.Counter
	moved       metrics.Counter
	kept        metrics.Counter
	broken      metrics.Counter
	stalled     metrics.Counter
	invalid     metrics.Counter
	refused     metrics.Counter
	budgetSpent metrics.Counter
	exhausted   metrics.Counter
	// cancelsDropped counts the Cancels that were dropped without an answer from the engine.
	cancelsDropped metrics.Counter
	reasons        map[verifier.Reason]metrics.Counter
}

func newCounters(r metrics.Registry) *counters {
	if r == nil {
		r = metrics.NewRegistry()
	}
	count := func(name string) metrics.Counter { return metrics.GetOrRegisterCounter(name, r) }
	c := &counters{
		attempts:    count("dispatcher.attempts"),
		tokens:      count("dispatcher.tokens"),
		resumed:     count("dispatcher.recovered.resume"),
		imported:    count("dispatcher.recovered.kv-import"),
		prefilled:   count("dispatcher.recovered.prefill"),
		slowStreams: count("dispatcher.slow"),
		moved:       count("dispatcher.moved"),
		kept:        count("dispatcher.move-failed"),
		broken:      count("dispatcher.failed.broken"),
		stalled:     count("dispatcher.failed.stalled"),
		invalid:     count("dispatcher.failed.invalid"),
		refused:     count("dispatcher.failed.refused"),
		budgetSpent: count("dispatcher.retry-budget-spent"),
		exhausted:   count("dispatcher.attempts-exhausted"),

		cancelsDropped: count("dispatcher.cancels-dropped"),
		reasons:        make(map[verifier.Reason]metrics.Counter),
	}
	for _, reason := range verifier.Reasons() {
		c.reasons[reason] = count("verifier." + reason.String())
	}
	return c
}
