package main

import (
	"encoding/json"
	"fmt"
	"io"
	"os"
	"slices"
	"text/tabwriter"
)

// round is a direct leg and a routed leg, one after the other.
type round struct {
	Direct leg `json:"direct"`
	Routed leg `json:"routed"`
	// AddedP50 and AddedP99 are the quantiles of the routed leg minus those of the direct leg.
	AddedP50 float64 `json:"added-p50-ms"`
	AddedP99 float64 `json:"added-p99-ms"`
}

// report holds all rounds of a measurement.
type report struct {
	Commit   string  `json:"commit"`
	Cores    int     `json:"cores"`
	Requests []round `json:"requests"`
	Tokens   []round `json:"tokens"`
}

func newRound(direct, routed leg) round {
	return round{Direct: direct, Routed: routed, AddedP50: routed.P50 - direct.P50, AddedP99: routed.P99 - direct.P99}
}

// othersCores returns how many cores other processes used during the leg in which they used more.
func (r round) othersCores() float64 { return max(r.Direct.OthersCores, r.Routed.OthersCores) }

func (r *report) write(file string) error {
	raw, err := json.MarshalIndent(r, "", "  ")
	if err != nil {
		return err
	}
	return os.WriteFile(file, append(raw, '\n'), 0o644)
}

// print writes the rounds sorted by the load of other processes.
func (r *report) print(w io.Writer) {
	tw := tabwriter.NewWriter(w, 0, 0, 2, ' ', tabwriter.AlignRight)
	byLoad := func(a, b round) int {
		if a.othersCores() < b.othersCores() {
			return -1
		}
		return 1
	}
	_, _ = fmt.Fprintln(tw, "REQUESTS: OTHERS' CORES\tDIRECT P50\tP99 MS\tROUTED P50\tP99 MS\tADDED P50\tP99 MS\tLATE P99 MS\tREFUSED\tROUTER US\tALL US\t")
	slices.SortStableFunc(r.Requests, byLoad)
	for _, x := range r.Requests {
		_, _ = fmt.Fprintf(tw, "%.1f\t%.2f\t%.2f\t%.2f\t%.2f\t%.2f\t%.2f\t%.2f\t%d\t%.0f\t%.0f\t\n", x.othersCores(), x.Direct.P50, x.Direct.P99,
			x.Routed.P50, x.Routed.P99, x.AddedP50, x.AddedP99, x.Routed.Late99, x.Routed.Refused, x.Routed.RouterMicros, x.Routed.ProcessorMicros)
	}
	_, _ = fmt.Fprintln(tw, "TOKENS: OTHERS' CORES\tDIRECT /S\tUS\tROUTED /S\tUS\tROUTER US\tROUTER CORES\tREFUSED\t")
	slices.SortStableFunc(r.Tokens, byLoad)
	for _, x := range r.Tokens {
		_, _ = fmt.Fprintf(tw, "%.1f\t%.0f\t%.1f\t%.0f\t%.1f\t%.1f\t%.1f\t%d\t\n", x.othersCores(), x.Direct.TokenRate, x.Direct.ProcessorMicros,
			x.Routed.TokenRate, x.Routed.ProcessorMicros, x.Routed.RouterMicros, x.Routed.RouterCores, x.Routed.Refused)
	}
	_ = tw.Flush()
}
