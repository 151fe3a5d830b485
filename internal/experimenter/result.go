package experimenter

import (
	"slices"
	"time"
)

// Outcome is how a client's request ended.
type Outcome string

// Outcomes of requests.
const (
	// OutcomeOnTime and OutcomeLate are complete answers; late ones missed the objective or paused longer than the maximum gap.
	OutcomeOnTime Outcome = "on-time"
	OutcomeLate   Outcome = "late"
	// OutcomeRefused requests did not run, OutcomeFailed ones were aborted or stopped progressing.
	OutcomeRefused Outcome = "refused"
	OutcomeFailed  Outcome = "failed"
	// OutcomeLeft requests were canceled by their clients before the first event; OutcomeOpen ones were in progress at the end.
	OutcomeLeft Outcome = "left"
	OutcomeOpen Outcome = "open"
)

// OutcomeCounts counts the outcomes of requests, such as those that arrived in one second.
type OutcomeCounts map[Outcome]int

// Result is the result of one seed under one policy.
type Result struct {
	Policy string `json:"policy"`
	Seed   uint64 `json:"seed"`
	// Totals counts all outcomes, and Seconds those of the requests that arrived in each second.
	Totals  OutcomeCounts   `json:"totals"`
	Seconds []OutcomeCounts `json:"seconds"`
	// Served is the share of complete answers, and OnTime that of answers on time, of the requests that ended and that their
	// clients did not cancel.
	Served float64 `json:"served"`
	OnTime float64 `json:"on-time"`
	// FirstP50 and FirstP99 are quantiles of the time to the first event, GapP99 of the longest pause in an answer, StepP50 and
	// StepP99 of the mean time between two events of an answer, all in milliseconds.
	FirstP50 float64 `json:"first-p50-ms"`
	FirstP99 float64 `json:"first-p99-ms"`
	GapP99   float64 `json:"gap-p99-ms"`
	StepP50  float64 `json:"step-p50-ms"`
	StepP99  float64 `json:"step-p99-ms"`

	firsts []time.Duration
	gaps   []time.Duration
	steps  []time.Duration
}

func (r *Result) record(second int, o Outcome) {
	for len(r.Seconds) <= second {
		r.Seconds = append(r.Seconds, OutcomeCounts{})
	}
	r.Seconds[max(second, 0)][o]++
}

// summarize computes the totals, shares and quantiles.
func (r *Result) summarize() {
	r.Totals = OutcomeCounts{}
	for _, s := range r.Seconds {
		for o, n := range s {
			r.Totals[o] += n
		}
	}
	t := r.Totals
	answered := t[OutcomeOnTime] + t[OutcomeLate]
	expected := answered + t[OutcomeRefused] + t[OutcomeFailed]
	if expected > 0 {
		r.Served, r.OnTime = float64(answered)/float64(expected), float64(t[OutcomeOnTime])/float64(expected)
	}
	r.FirstP50, r.FirstP99, r.GapP99 = quantileMillis(r.firsts, 0.5), quantileMillis(r.firsts, 0.99), quantileMillis(r.gaps, 0.99)
	r.StepP50, r.StepP99 = quantileMillis(r.steps, 0.5), quantileMillis(r.steps, 0.99)
}

// quantileMillis returns a quantile in milliseconds, 0 if there are no times.
func quantileMillis(times []time.Duration, q float64) float64 {
	if len(times) == 0 {
		return 0
	}
	sorted := slices.Sorted(slices.Values(times))
	return float64(sorted[int(q*float64(len(sorted)-1))]) / float64(time.Millisecond)
}

// Report holds the results of an experiment.
type Report struct {
	Scenario string    `json:"scenario"`
	Results  []*Result `json:"results"`
}

// Run simulates every seed under every policy and calls done after each simulation.
func Run(s *Scenario, done func()) *Report {
	report := &Report{Scenario: s.Name}
	for _, name := range s.Policies {
		for _, seed := range s.Seeds {
			report.Results = append(report.Results, newSimulation(s, name, seed).run())
			done()
		}
	}
	return report
}

// Mean is the mean of a policy's results over its seeds; times are in milliseconds.
type Mean struct {
	Policy   string  `json:"policy"`
	Served   float64 `json:"served"`
	OnTime   float64 `json:"on-time"`
	Refused  float64 `json:"refused"`
	Failed   float64 `json:"failed"`
	FirstP50 float64 `json:"first-p50-ms"`
	FirstP99 float64 `json:"first-p99-ms"`
	StepP50  float64 `json:"step-p50-ms"`
	StepP99  float64 `json:"step-p99-ms"`
}

// Means returns the mean of each policy, in the order of the scenario.
func (r *Report) Means() []Mean {
	var out []Mean
	counts := map[string]float64{}
	index := map[string]int{}
	for _, result := range r.Results {
		i, ok := index[result.Policy]
		if !ok {
			i = len(out)
			index[result.Policy] = i
			out = append(out, Mean{Policy: result.Policy})
		}
		counts[result.Policy]++
		m := &out[i]
		m.Served += result.Served
		m.OnTime += result.OnTime
		m.Refused += float64(result.Totals[OutcomeRefused])
		m.Failed += float64(result.Totals[OutcomeFailed])
		m.FirstP50 += result.FirstP50
		m.FirstP99 += result.FirstP99
		m.StepP50 += result.StepP50
		m.StepP99 += result.StepP99
	}
	for i := range out {
		n := counts[out[i].Policy]
		m := &out[i]
		m.Served, m.OnTime, m.Refused, m.Failed = m.Served/n, m.OnTime/n, m.Refused/n, m.Failed/n
		m.FirstP50, m.FirstP99 = m.FirstP50/n, m.FirstP99/n
		m.StepP50, m.StepP99 = m.StepP50/n, m.StepP99/n
	}
	return out
}
