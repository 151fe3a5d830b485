package chooser

// Snapshot returns a chooser that chooses as c does now, with draw in place of Draw. What it records of pipes is not recorded in c.
func (c *Chooser) Snapshot(draw func() float64) *Chooser {
	s := &Chooser{
		Targets: c.Targets, Now: c.Now, DataCentre: c.DataCentre, Daemons: c.Daemons, HasFleetLoads: c.HasFleetLoads, HasTally: c.HasTally,
		AnswerTime: c.AnswerTime, Limits: c.Limits, Pace: c.Pace, Draw: draw,
	}
	c.pipes.copyTo(&s.pipes)
	return s
}

// copyTo copies the state of all pipes to other, which is empty.
func (p *pipes) copyTo(other *pipes) {
	p.mu.Lock()
	defer p.mu.Unlock()
	other.all, other.others = make(map[crossing]*pipe, len(p.all)), p.others
	for cr, from := range p.all {
		to := &pipe{}
		from.sendRate.copyTo(&to.sendRate)
		from.backlog.copyTo(&to.backlog)
		from.ownBacklog.copyTo(&to.ownBacklog)
		other.all[cr] = to
	}
}

func (m *rateMeter) copyTo(other *rateMeter) {
	m.mu.Lock()
	defer m.mu.Unlock()
	other.sum, other.updatedAt = m.sum, m.updatedAt
}

func (b *backlog) copyTo(other *backlog) {
	b.mu.Lock()
	defer b.mu.Unlock()
	other.bytes, other.updatedAt = b.bytes, b.updatedAt
}
