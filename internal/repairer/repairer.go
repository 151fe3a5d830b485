package repairer

import (
	"slices"
	"time"

	"github.com/rattantray/rattantray/internal/cataloger"
)

const (
	// AskPause is the least time between two reports of one target, which lag by some hundred milliseconds.
	MinQueryInterval = 250 * time.Millisecond
	// AskTimeout bounds a report; a target that does not answer in it is doubted.
	QueryTimeout = 400 * time.Millisecond
	// RetryPause is the time between two tries to repair one stream.
	RetryInterval = 300 * time.Millisecond
)

// overlap is how much later than the silence of a stream another one must have progressed to clear a stage of both: events of
// one step of a target arrive together.
const overlap = 30 * time.Millisecond

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

// Ask returns the first stages whose reports tell which stage is lost: those of silent streams that have a stage which no
// stream has passed since.
func StagesToQuery(now time.Time, streams []Stream) []cataloger.Stage {
	progress := lastProgress(streams)
	asked := map[string]bool{}
	var out []cataloger.Stage
	for _, s := range streams {
		first := s.Path[0]
		if asked[first.Target] || !s.silent(now) || !suspect(s, progress) {
			continue
		}
		asked[first.Target] = true
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

// suspect tells whether there is a stage that nothing has passed since the stream went silent.
func suspect(s Stream, progress map[string]time.Time) bool {
	return slices.ContainsFunc(s.Path, func(stage cataloger.Stage) bool {
		return !progress[stage.Target].After(s.Last.Add(overlap))
	})
}
