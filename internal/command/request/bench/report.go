package bench

import (
	"fmt"
	"maps"
	"slices"
	"text/tabwriter"
	"time"

	"github.com/rattantray/rattantray/internal/bencher"
	"github.com/rattantray/rattantray/internal/command/streamer"
)

func printTable(s *streamer.IOStreams, r *bencher.Report) {
	tw := tabwriter.NewWriter(s.Out, 0, 0, 2, ' ', tabwriter.AlignRight)
	_, _ = fmt.Fprintln(tw, "KIND\tSENT\tANSWERED\tNOT-RUN\tMAY-HAVE-RUN\tINCOMPLETE\tFIRST P95 MS\tGAP P95 MS\tTOTAL P50 MS\tTOTAL P99 MS\t")
	for _, k := range r.Kinds {
		_, _ = fmt.Fprintf(tw, "%s\t%d\t%d\t%d\t%d\t%d\t%.2f\t%.2f\t%.2f\t%.2f\t\n",
			k.Name, k.Sent, k.Answered, k.NotRun, k.MayHaveRun, k.Incomplete,
			k.First.P95, k.Gap.P95, k.Total.P50, k.Total.P99)
	}
	_ = tw.Flush()
	s.Printf("offered %.1f requests/s, answered %.1f requests/s, %.0f tokens/s, in %s\n",
		r.OfferedRate, r.AnsweredRate, r.TokenRate, r.Elapsed.Round(time.Millisecond))
	for _, k := range r.Kinds {
		for _, name := range slices.Sorted(maps.Keys(k.Refusals)) {
			s.Printf("%s: refused %s: %d\n", k.Name, name, k.Refusals[name])
		}
	}
	if r.Audit != nil {
		s.Printf("audit of %d requests: %d doubled, %d falsely not-run, %d lost\n",
			r.Audit.Requests, len(r.Audit.DuplicateRuns), len(r.Audit.FalseNotRun), len(r.Audit.Lost))
	}
}
