package where

import (
	"cmp"
	"fmt"
	"slices"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/rattantray/rattantray/internal/command/streamer"
	"github.com/rattantray/rattantray/internal/previewer"
)

// maxNames bounds the names in a line.
const maxNames = 5

// printAnswer prints an answer for a person.
func printAnswer(streams *streamer.IOStreams, a previewer.Answer) {
	streams.Printf("%s in %s, version %d of the configuration\n", a.Gateway, cmp.Or(a.DataCentre, "no data centre"), a.ConfigVersion)
	streams.Printf("route %s", a.Route)
	if a.Service != "" {
		streams.Printf(", service %s%s", a.Service, formatShare(a.Services, a.Service))
	}
	if a.Workspace != "" {
		streams.Printf(", workspace %s", a.Workspace)
	}
	streams.Printf("%s\n", formatStanding(a))
	if a.Sent {
		streams.Printf("would be sent to %s: %s\n", formatNames(destinations(a)), a.Why)
	} else {
		streams.Printf("would be refused with %s (%d): %s%s\n", a.Refusal.Name, a.Refusal.Code, a.Refusal.Reason, formatRetry(a.Refusal.RetryAfterMS))
	}
	if a.Refusal != nil && a.Service == "" && a.Workspace == "" {
		streams.Printf("to ask for a request with a key, name its workspace with --workspace\n")
	}
	printPath(streams, a)
	printInstances(streams, a)
	printOthers(streams, a)
}

// formatShare returns the share of a service, unless it gets all requests of the route.
func formatShare(shares []previewer.Share, name string) string {
	for _, s := range shares {
		if s.Name == name && s.Share < 1 {
			return fmt.Sprintf(" (%.0f%% of the route)", 100*s.Share)
		}
	}
	return ""
}

// formatStanding returns what decides who goes first.
func formatStanding(a previewer.Answer) string {
	if a.Service == "" {
		return ""
	}
	out := fmt.Sprintf(", priority %d, rank %d", a.Priority, a.Rank)
	if a.Contended {
		out += fmt.Sprintf(", %.0f%% of the demand goes before", 100*a.Ahead)
	}
	if a.BeyondShare {
		out += ", beyond the usual share of its workspace"
	}
	return out
}

func formatRetry(ms float64) string {
	if ms <= 0 {
		return ""
	}
	return fmt.Sprintf("; Retry-After from %s on", time.Duration(ms*float64(time.Millisecond)))
}

// destinations returns the targets of the path, or the preferred instances.
func destinations(a previewer.Answer) []string {
	var names []string
	for _, s := range a.Stages {
		names = append(names, s.Target)
	}
	for _, i := range a.Instances {
		if i.Preferred {
			names = append(names, i.Target)
		}
	}
	return names
}

// formatNames returns the first maxNames names.
func formatNames(names []string) string {
	if len(names) <= maxNames {
		return strings.Join(names, ", ")
	}
	return fmt.Sprintf("%s and %d more", strings.Join(names[:maxNames], ", "), len(names)-maxNames)
}

func printPath(streams *streamer.IOStreams, a previewer.Answer) {
	if len(a.Stages) > 0 {
		w := tabwriter.NewWriter(streams.Out, 0, 0, 2, ' ', 0)
		for _, s := range a.Stages {
			_, _ = fmt.Fprintf(w, "  %s\t%s\tlayers %d-%d\tfill %.2f of %.2f\tpace %.3g\t%.4g µs a layer and token\n",
				s.Target, s.DataCentre, s.FirstLayer, s.EndLayer, s.Fill, s.MaxFill, s.Pace, s.LayerCostUS)
		}
		_ = w.Flush()
	}
	if len(a.FirstTargets) == 0 {
		return
	}
	var shares []string
	for _, s := range a.FirstTargets {
		shares = append(shares, fmt.Sprintf("%s %.0f%%", s.Name, 100*s.Share))
	}
	streams.Printf("begins at %s\n", formatNames(shares))
}

func printInstances(streams *streamer.IOStreams, a previewer.Answer) {
	if len(a.Instances) == 0 {
		return
	}
	w := tabwriter.NewWriter(streams.Out, 0, 0, 2, ' ', 0)
	for _, i := range a.Instances {
		_, _ = fmt.Fprintf(w, "  %s\t%s\tcost %.3g\t%d in progress\t%s\n", i.Target, i.DataCentre, i.Cost, i.Requests, formatObstacle(i.Obstacle, i.Preferred))
	}
	_ = w.Flush()
}

func formatObstacle(obstacle string, preferred bool) string {
	if preferred {
		return "preferred"
	}
	return cmp.Or(strings.ReplaceAll(obstacle, "-", " "), "costs more")
}

// printOthers prints the targets that are not on the path by the reason.
func printOthers(streams *streamer.IOStreams, a previewer.Answer) {
	byReason := map[string][]string{}
	var reasons []string
	for _, o := range a.Others {
		reason := strings.ReplaceAll(o.Obstacle, "-", " ")
		if reason == "" {
			if reason = "costs more"; !a.Sent {
				reason = "has room"
			}
		}
		name := o.Target
		if o.WaitMS > 0 {
			name += fmt.Sprintf(" (for %s)", time.Duration(o.WaitMS*float64(time.Millisecond)))
		}
		if byReason[reason] == nil {
			reasons = append(reasons, reason)
		}
		byReason[reason] = append(byReason[reason], name)
	}
	slices.Sort(reasons)
	for _, reason := range reasons {
		streams.Printf("%s: %s\n", reason, formatNames(byReason[reason]))
	}
}
