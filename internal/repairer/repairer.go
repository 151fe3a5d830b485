package repairer

import (
	"slices"
	"time"

	"github.com/rattantray/rattantray/internal/cataloger"
)

const (
	// MinQueryInterval is the minimum time between two queries of one target, whose reports lag by some hundred
	// milliseconds.
	MinQueryInterval = 250 * time.Millisecond
	// QueryTimeout bounds a query; a target that does not answer within it is suspected.
	QueryTimeout = 400 * time.Millisecond
	// RetryInterval is the minimum time between two attempts to repair one stream.
	RetryInterval = 300 * time.Millisecond
)

// overlap is how much later than the last progress of a silent stream another stream must have progressed to clear a
// shared stage: events of one step of a target arrive together.
const overlap = 30 * time.Millisecond

// Stream is a stream in progress.
type Stream struct {
	ID   string
	Path []cataloger.Stage
	// Last is when the stream last progressed, or was sent.
	Last time.Time
	// Patience is the usual maximum silence of the stream.
	Patience time.Duration
}

func (s Stream) silent(now time.Time) bool { return now.Sub(s.Last) > s.Patience }

// Passes reports whether the stream passes a target.
func (s Stream) Passes(target string) bool {
	return slices.ContainsFunc(s.Path, func(stage cataloger.Stage) bool { return stage.Target == target })
}

// StagesToQuery returns the first stages whose reports can identify a lost stage: those of silent streams with a stage
// that no stream has passed since.
func StagesToQuery(now time.Time, streams []Stream) []cataloger.Stage {
	progress := lastProgress(streams)
	selected := map[string]bool{}
	var out []cataloger.Stage
	for _, s := range streams {
		first := s.Path[0]
		if selected[first.Target] || !s.silent(now) || !hasSuspectedStage(s, progress) {
			continue
		}
		selected[first.Target] = true
		out = append(out, first)
	}
	return out
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

// hasSuspectedStage reports whether the stream has a stage that nothing has passed since it went silent.
func hasSuspectedStage(s Stream, progress map[string]time.Time) bool {
	return slices.ContainsFunc(s.Path, func(stage cataloger.Stage) bool {
		return !progress[stage.Target].After(s.Last.Add(overlap))
	})
}
