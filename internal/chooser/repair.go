package chooser

import (
	"time"

	"github.com/rattantray/rattantray/internal/cataloger"
)

const (
	// moveTransferWait is the wait for the pipes between data centres above which a stream is better sent again over another
	// pipeline than transferred: the stages of one data centre prefill a prompt of usual size in this time.
	moveTransferWait = 100 * time.Millisecond
	// maxTransferWait is the wait after which the client of a stream has left, so that the pipe is better left to others.
	maxTransferWait = 1200 * time.Millisecond
)

// Repair is the way in which a stream continues after the loss of stages.
type Repair int

const (
	// RepairNone means that no other targets are left that hold the layers of the lost stages.
	RepairNone Repair = iota
	// RepairReplace means that other targets take over the stages and prefill the stream so far.
	RepairReplace
	// RepairMove means that the stream is to be sent again over another pipeline.
	RepairMove
	// RepairWait means that any repair would delay other streams for now.
	RepairWait
)

// Repair decides how a stream continues after the loss of stages, and returns its new path for RepairReplace. If the new stages
// would receive the stream over a full pipe, as when many streams lose a stage of which their data centre holds no other copy,
// the stream is sent again over another pipeline, provided that mayMove allows it.
func (c *Chooser) Repair(d Demand, path []cataloger.Stage, lost map[string]bool, mayMove func() bool) ([]cataloger.Stage, Repair) {
	d.Precedence.Begun = true
	// The stream may be near its end, with all its tokens in memory.
	d.PrefillTokens = d.Tokens
	next, ok := c.Replace(d, path, lost)
	if !ok {
		return nil, RepairNone
	}
	switch transfer := c.transferWait(d, path, next); {
	case transfer > moveTransferWait && mayMove():
		return nil, RepairMove
	case transfer > maxTransferWait:
		return nil, RepairWait
	}
	c.RecordCrossings(d, path, next)
	return next, RepairReplace
}

// Relieve returns the path of a stream with its slow stages replaced, or false if targets that are not slow have no room for them, or
// would receive the stream over a full pipe. A target whose pace reaches slowPace is slow.
func (c *Chooser) Relieve(d Demand, path []cataloger.Stage, slow map[string]bool, slowPace float64) ([]cataloger.Stage, bool) {
	d.Precedence.Begun = true
	d.PrefillTokens = d.Tokens
	next, ok := c.Replace(d, path, slow)
	if !ok || c.transferWait(d, path, next) > moveTransferWait {
		return nil, false
	}
	for _, s := range next {
		if v, found := c.Targets.Get(s.Target); !found || v.Pace >= slowPace && s.Target != path[0].Target {
			return nil, false
		}
	}
	c.RecordCrossings(d, path, next)
	return next, true
}
