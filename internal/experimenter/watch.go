package experimenter

import (
	"slices"
	"time"

	"github.com/rattantray/rattantray/internal/cataloger"
	"github.com/rattantray/rattantray/internal/repairer"
	"github.com/rattantray/rattantray/pkg/modeler"
)

// listTime is when the platform's list has dropped a lost target, for those who do not ask.
const listTime = 3600 * time.Millisecond

// trouble strikes targets that hold layers.
func (p *play) trouble(t Trouble) {
	for range t.Count {
		name, ok := p.victim()
		if !ok {
			return
		}
		switch t.Kind {
		case TroubleLose:
			p.fleet.Lose(name)
			p.fleet.After(listTime, func() {
				p.targets.Remove(name)
				p.repair(name)
			})
		case TroubleSlow:
			p.fleet.Slow(name, t.X)
			p.fleet.After(t.For, func() { p.fleet.Slow(name, 1) })
		}
	}
}

// victim returns a target at random that holds layers and is not lost.
func (p *play) victim() (string, bool) {
	var out []string
	for _, name := range p.names {
		v, ok := p.targets.Get(name)
		if first, end := p.fleet.Held(name); ok && v.Usable() && end > first {
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
	for _, first := range repairer.Ask(now, streams) {
		p.fleet.Report(first.Target, p.hear)
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
	c.tries++
	p.fleet.Cancel(c.id)
	p.finish(c)
	p.close(c, OutcomeFailed)
}

// hear takes a report of a first stage.
func (p *play) hear(r modeler.Report) {
	for _, silent := range r.Stalled {
		if p.targets.Lose(silent, 1, epoch.Add(p.fleet.Now())) {
			p.repair(silent)
		}
	}
}

// repair moves the streams off a lost target and has an empty target take its layers.
func (p *play) repair(lost string) {
	if !p.policy.repairs {
		return
	}
	gone := map[string]bool{lost: true}
	for _, c := range p.ordered() {
		if !slices.ContainsFunc(c.path, func(s cataloger.Stage) bool { return s.Target == lost }) {
			continue
		}
		tokens := float64(c.prompt + c.answer)
		next, ok := p.chooser.Replace(p.demand(tokens), c.path, gone)
		if !ok || !p.fleet.Repath(c.id, stages(next)) {
			continue
		}
		c.release()
		c.path, c.release = next, p.targets.Reserve(next, tokens)
	}
	p.place(false)
}
