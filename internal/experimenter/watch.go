package experimenter

import (
	"slices"
	"time"

	"github.com/rattantray/rattantray/internal/chooser"
	"github.com/rattantray/rattantray/internal/repairer"
	"github.com/rattantray/rattantray/pkg/modeler"
)

// listDelay is how long the platform takes to drop a lost target from its list; policies without queries learn of it only then.
const listDelay = 3600 * time.Millisecond

// disrupt applies a disruption to targets that hold layers, or to all processes.
func (p *simulation) disrupt(t Disruption) {
	if t.Kind == DisruptionRestart {
		p.restartProcesses(t.Duration)
		return
	}
	for range t.Count {
		name, ok := p.randomTarget()
		if !ok {
			return
		}
		switch t.Kind {
		case DisruptionLose:
			p.fleet.Crash(name)
			p.fleet.After(listDelay, func() {
				p.targets.Remove(name)
				p.replaceLostLayers()
			})
		case DisruptionSlow:
			p.fleet.SetPace(name, t.Factor)
			p.fleet.After(t.Duration, func() { p.fleet.SetPace(name, 1) })
		}
	}
}

// restartProcesses ends all processes with the streams in progress; new ones accept requests after the downtime and have only
// the platform's list.
func (p *simulation) restartProcesses(downtime time.Duration) {
	p.downUntil = p.fleet.Now() + downtime
	for _, c := range p.sortedStreams() {
		c.sendNumber++
		p.fleet.Cancel(c.id)
		p.removeStream(c)
		p.handleRefusal(c)
	}
	listed := p.targets.Service(service)
	p.resetProcesses()
	for _, v := range listed {
		p.targets.Put(v.Target)
	}
}

// randomTarget returns a random target that holds layers and is not lost.
func (p *simulation) randomTarget() (string, bool) {
	var out []string
	for _, name := range p.targetNames {
		v, ok := p.targets.Get(name)
		if first, end := p.fleet.ReadyLayers(name); ok && v.Usable() && end > first {
			out = append(out, name)
		}
	}
	if len(out) == 0 {
		return "", false
	}
	return out[p.random.IntN(len(out))], true
}

// watch monitors the streams in progress as the product's watchdog does.
func (p *simulation) watch() {
	p.fleet.After(watchInterval, p.watch)
	now := epoch.Add(p.fleet.Now())
	var streams []repairer.Stream
	for _, c := range p.sortedStreams() {
		if p.fleet.Now()-c.lastProgress > p.scenario.Load.Patience {
			p.abandon(c)
			continue
		}
		streams = append(streams, repairer.Stream{ID: c.id, Path: c.path, Last: epoch.Add(c.lastProgress), Patience: queryAfter})
	}
	if !p.policy.repairs {
		return
	}
	for _, first := range repairer.StagesToQuery(now, streams) {
		p.queryStage(first.Target)
	}
	for _, c := range p.sortedStreams() {
		p.repairStream(c)
	}
}

// sortedStreams returns the streams in progress sorted by id, so that a seed gives the same result each time.
func (p *simulation) sortedStreams() []*client {
	var out []*client
	for _, c := range p.streams {
		out = append(out, c)
	}
	slices.SortFunc(out, func(a, b *client) int {
		if a.id < b.id {
			return -1
		}
		return 1
	})
	return out
}

// abandon ends the request of a client whose answer has been silent for too long.
func (p *simulation) abandon(c *client) {
	c.sendNumber++
	p.fleet.Cancel(c.id)
	p.removeStream(c)
	p.recordOutcome(c, OutcomeFailed)
}

// queryStage queries a first stage for its report; a stage that fails to answer twice is suspected.
func (p *simulation) queryStage(first string) {
	if at, ok := p.queriedAt[first]; ok && p.fleet.Now() < at+repairer.MinQueryInterval {
		return
	}
	p.queriedAt[first] = p.fleet.Now()
	answered := false
	p.fleet.QueryReport(first, func(r modeler.Report) {
		answered = true
		p.handleReport(r)
	})
	p.fleet.After(repairer.QueryTimeout, func() {
		if !answered && p.targets.RecordUnanswered(first, 1) {
			p.markSuspected(first)
		}
	})
}

// handleReport applies a report of a first stage.
func (p *simulation) handleReport(r modeler.Report) {
	for _, silent := range r.Stalled {
		p.markSuspected(silent)
	}
}

func (p *simulation) markSuspected(name string) {
	if p.targets.Suspect(name, 1, epoch.Add(p.fleet.Now())) {
		p.replaceLostLayers()
	}
}

// replaceLostLayers makes empty targets load the layers of lost ones, if the policy repairs.
func (p *simulation) replaceLostLayers() {
	if p.policy.repairs {
		p.applyPlacement(false)
	}
}

// repairStream moves a stream away from lost stages.
func (p *simulation) repairStream(c *client) {
	lost := map[string]bool{}
	for _, s := range c.path {
		if v, ok := p.targets.Get(s.Target); !ok || v.Unreachable {
			lost[s.Target] = true
		}
	}
	if len(lost) == 0 || p.fleet.Now() < c.repairAt {
		return
	}
	c.repairAt = p.fleet.Now() + repairer.RetryInterval
	d := p.demand(c.prompt, c.answer)
	mayMove := func() bool { return c.moves == 0 }
	next, how := p.chooser.Repair(d, c.path, lost, mayMove)
	switch {
	case how == chooser.RepairMove, how == chooser.RepairNone && mayMove():
		p.moveStream(c)
	case how == chooser.RepairReplace && p.fleet.Repath(c.id, modelStages(next)):
		c.release()
		c.path, c.release = next, p.targets.Reserve(next, d.Tokens)
	}
}

// moveStream sends the remainder of a stream over another pipeline, which prefills the tokens so far.
func (p *simulation) moveStream(c *client) {
	c.moves++
	c.sendNumber++
	p.fleet.Cancel(c.id)
	p.removeStream(c)
	c.prompt += c.generated
	c.answer -= c.generated
	c.generated = 0
	p.send(c)
}
