package repairer

import (
	"slices"
	"time"

	"github.com/rattantray/rattantray/internal/cataloger"
)

const (
	// overlap is how much later than the silence of a stream another one must have progressed to clear a stage of both: events
	// of one step of a target arrive together.
	overlap = 30 * time.Millisecond
	// witnesses is how many silent streams convict the only stage that they may blame.
	witnesses = 2
)

// Stream is a stream in progress.
type Stream struct {
	ID   string
	Path []cataloger.Stage
	// Last is when the stream last progressed, or was sent.
	Last time.Time
	// Patience is the silence that is usual for it.
	Patience time.Duration
}

func (s Stream) silent(now time.Time) bool { return now.Sub(s.Last) > s.Patience }

// Passes tells whether the stream passes a target.
func (s Stream) Passes(target string) bool {
	return slices.ContainsFunc(s.Path, func(stage cataloger.Stage) bool { return stage.Target == target })
}

// Diagnosis is what the silence of streams says.
type Diagnosis struct {
	// Lost are targets that must be lost, as all that pass through them went silent together.
	Lost []string
	// Ask are the first stages of silent streams whose reports tell more.
	Ask []cataloger.Stage
}

// Diagnose weighs the streams in progress; it blames only a stage that no stream has passed since.
func Diagnose(now time.Time, streams []Stream) Diagnosis {
	progress := lastProgress(streams)
	blamed := map[string]int{}
	asked := map[string]bool{}
	var d Diagnosis
	for _, s := range streams {
		if !s.silent(now) {
			continue
		}
		suspects := suspectsOf(s, progress)
		if len(suspects) == 1 {
			blamed[suspects[0]]++
		}
		if first := s.Path[0]; !asked[first.Target] {
			asked[first.Target] = true
			d.Ask = append(d.Ask, first)
		}
	}
	for target, n := range blamed {
		if n >= witnesses {
			d.Lost = append(d.Lost, target)
		}
	}
	return d
}

// lastProgress returns when a stream last passed each target.
func lastProgress(streams []Stream) map[string]time.Time {
	out := map[string]time.Time{}
	for _, s := range streams {
		for _, stage := range s.Path {
			if s.Last.After(out[stage.Target]) {
				out[stage.Target] = s.Last
			}
		}
	}
	return out
}

// suspectsOf returns the stages that nothing has passed since the stream went silent.
func suspectsOf(s Stream, progress map[string]time.Time) []string {
	var out []string
	for _, stage := range s.Path {
		if !progress[stage.Target].After(s.Last.Add(overlap)) {
			out = append(out, stage.Target)
		}
	}
	return out
}
