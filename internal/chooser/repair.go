package chooser

import (
	"time"

	"github.com/rattantray/rattantray/internal/cataloger"
)

const (
	// dearTransfer is the wait for the pipes between data centres from which on a stream is better read anew elsewhere than
	// carried over: the stages of one data centre read a prompt of usual size in as long.
	dearTransfer = 100 * time.Millisecond
	// mostTransfer is the wait after which the client of a stream has gone, so that the pipe is better left to others.
	mostTransfer = 1200 * time.Millisecond
)

// Repair is how a stream goes on that loses stages.
type Repair int

const (
	// RepairNone says that no other holders are left to take the stages over.
	RepairNone Repair = iota
	// RepairReplace says that other holders take the stages over and read what the stream has so far.
	RepairReplace
	// RepairMove says that the stream is to be sent anew over another pipeline.
	RepairMove
	// RepairWait says that nothing can be done for now without harm to other streams.
	RepairWait
)

// Repair decides how a stream goes on that loses stages, and returns the path of RepairReplace. Where new stages would have to
// read it over a pipe that is full, as when many streams lose a stage of which their data centre holds no other copy, it is
// read anew elsewhere; mayMove is asked then whether it may.
func (c *Chooser) Repair(d Demand, path []cataloger.Stage, lost map[string]bool, mayMove func() bool) ([]cataloger.Stage, Repair) {
	d.Precedence.Begun = true
	// It may have read and written as much as it will at its end.
	d.PrefillTokens = d.Tokens
	next, ok := c.Replace(d, path, lost)
	if !ok {
		return nil, RepairNone
	}
	switch transfer := c.transfer(d, path, next); {
	case transfer > dearTransfer && mayMove():
		return nil, RepairMove
	case transfer > mostTransfer:
		return nil, RepairWait
	}
	c.RecordCrossings(d, path, next)
	return next, RepairReplace
}
