package chooser

import (
	"slices"
	"time"

	"github.com/rattantray/rattantray/internal/cataloger"
	"github.com/rattantray/rattantray/internal/matcher"
)

const (
	// dearTransfer is the wait for the pipe between data centres from which on a stream is better read anew elsewhere than
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
	d.Standing.Begun = true
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
	c.Cross(d, path, next)
	return next, RepairReplace
}

// crossing returns what a hop between data centres costs now, in seconds a token.
func (c *Chooser) crossing(e *matcher.Engine) float64 {
	if e.PipeBytesPerSecond <= 0 {
		return crossingCost.Seconds()
	}
	used := c.pipe.Rate(c.Now()) * float64(c.Daemons()) / e.PipeBytesPerSecond
	free := max(1-used, leastPipe)
	return crossingCost.Seconds() / (free * free)
}

// crossings returns how many stages of a path read a whole generation from another data centre: those that were not in the
// path before.
func (c *Chooser) crossings(before, path []cataloger.Stage) int {
	n := 0
	for i := 1; i < len(path); i++ {
		fresh := !slices.ContainsFunc(before, func(s cataloger.Stage) bool { return s.Target == path[i].Target })
		if fresh && c.place(path[i-1]) != c.place(path[i]) {
			n++
		}
	}
	return n
}

// Cross counts the bytes that a generation sends between data centres as it takes a path in place of one before, which is nil
// at its start.
func (c *Chooser) Cross(d Demand, before, path []cataloger.Stage) {
	n := c.crossings(before, path)
	if n == 0 {
		return
	}
	bytes := float64(n) * d.Tokens * d.Engine.ActivationBytes
	c.pipe.Add(c.Now(), bytes)
	if rate := d.Engine.PipeBytesPerSecond; rate > 0 {
		c.waiting.Add(c.Now(), bytes*float64(c.Daemons()), rate)
	}
}

// transfer returns how long new stages of a path would wait for the pipe between data centres before they have read what a
// generation has so far. Many streams that lose a stage together fill it for seconds.
func (c *Chooser) transfer(d Demand, before, path []cataloger.Stage) time.Duration {
	rate := d.Engine.PipeBytesPerSecond
	n := c.crossings(before, path)
	if n == 0 || rate <= 0 {
		return 0
	}
	own := float64(n) * d.Tokens * d.Engine.ActivationBytes / rate
	return c.waiting.Wait(c.Now(), rate) + time.Duration(own*float64(time.Second))
}
