package experimenter

import (
	"slices"
	"time"

	"github.com/rattantray/rattantray/internal/chooser"
	"github.com/rattantray/rattantray/internal/repairer"
	"github.com/rattantray/rattantray/pkg/modeler"
)

// listTime is when the platform's list has dropped a lost target, for those who do not ask.
const listTime = 3600 * time.Millisecond

// trouble strikes targets that hold layers, or all processes.
func (p *play) trouble(t Disruption) {
	if t.Kind == DisruptionRestart {
		p.restart(t.Duration)
		return
	}
	for range t.Count {
		name, ok := p.victim()
		if !ok {
			return
		}
		switch t.Kind {
		case DisruptionLose:
			p.fleet.Crash(name)
			p.fleet.After(listTime, func() {
				p.targets.Remove(name)
				p.refill()
			})
		case DisruptionSlow:
			p.fleet.SetPace(name, t.Factor)
			p.fleet.After(t.Duration, func() { p.fleet.SetPace(name, 1) })
		}
	}
}

// restart ends all processes with the streams in progress, and begins others after a while that know what is listed.
func (p *play) restart(away time.Duration) {
	p.awayUntil = p.fleet.Now() + away
	for _, c := range p.ordered() {
		c.sending++
		p.fleet.Cancel(c.id)
		p.finish(c)
		p.refused(c)
	}
	listed := p.targets.Service(service)
	p.startProcesses()
	for _, v := range listed {
		p.targets.Put(v.Target)
	}
}

// victim returns a target at random that holds layers and is not lost.
func (p *play) victim() (string, bool) {
	var out []string
	for _, name := range p.names {
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

// watch looks after the streams in progress, as the product's watchdog does.
func (p *play) watch() {
	p.fleet.After(look, p.watch)
	now := epoch.Add(p.fleet.Now())
	var streams []repairer.Stream
	for _, c := range p.ordered() {
		if p.fleet.Now()-c.last > p.scenario.Load.Patience {
			p.abandon(c)
			continue
		}
		streams = append(streams, repairer.Stream{ID: c.id, Path: c.path, Last: epoch.Add(c.last), Patience: askAfter})
	}
	if !p.policy.repairs {
		return
	}
	for _, first := range repairer.StagesToQuery(now, streams) {
		p.ask(first.Target)
	}
	for _, c := range p.ordered() {
		p.repair(c)
	}
}

// ordered returns the streams in progress by id, so that a seed plays the same each time.
func (p *play) ordered() []*client {
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

// abandon has a client go whose answer has been silent for too long.
func (p *play) abandon(c *client) {
	c.sending++
	p.fleet.Cancel(c.id)
	p.finish(c)
	p.close(c, OutcomeFailed)
}

// ask asks a first stage for its report; one that gives none twice is lost.
func (p *play) ask(first string) {
	if at, ok := p.askedAt[first]; ok && p.fleet.Now() < at+repairer.MinQueryInterval {
		return
	}
	p.askedAt[first] = p.fleet.Now()
	answered := false
	p.fleet.QueryReport(first, func(r modeler.Report) {
		answered = true
		p.hear(r)
	})
	p.fleet.After(repairer.QueryTimeout, func() {
		if !answered && p.targets.RecordUnanswered(first, 1) {
			p.lose(first)
		}
	})
}

// hear takes a report of a first stage.
func (p *play) hear(r modeler.Report) {
	for _, silent := range r.Stalled {
		p.lose(silent)
	}
}

func (p *play) lose(name string) {
	if p.targets.Suspect(name, 1, epoch.Add(p.fleet.Now())) {
		p.refill()
	}
}

// refill has empty targets take the layers of lost ones.
func (p *play) refill() {
	if p.policy.repairs {
		p.place(false)
	}
}

// repair takes a stream off the stages that are lost.
func (p *play) repair(c *client) {
	gone := map[string]bool{}
	for _, s := range c.path {
		if v, ok := p.targets.Get(s.Target); !ok || v.Unreachable {
			gone[s.Target] = true
		}
	}
	if len(gone) == 0 || p.fleet.Now() < c.repairAt {
		return
	}
	c.repairAt = p.fleet.Now() + repairer.RetryInterval
	d := p.demand(c.prompt, c.answer)
	mayMove := func() bool { return c.moves == 0 }
	next, how := p.chooser.Repair(d, c.path, gone, mayMove)
	switch {
	case how == chooser.RepairMove, how == chooser.RepairNone && mayMove():
		p.move(c)
	case how == chooser.RepairReplace && p.fleet.Repath(c.id, stages(next)):
		c.release()
		c.path, c.release = next, p.targets.Reserve(next, d.Tokens)
	}
}

// move sends what is left of a stream over another pipeline, which reads what there is so far.
func (p *play) move(c *client) {
	c.moves++
	c.sending++
	p.fleet.Cancel(c.id)
	p.finish(c)
	c.prompt += c.made
	c.answer -= c.made
	c.made = 0
	p.send(c)
}
