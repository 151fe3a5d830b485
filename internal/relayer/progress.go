package relayer

// prepayRetry takes the next send out of the budget, once; a send is abandoned only if that succeeds.
func (g *generation) prepayRetry() bool { return g.prepay(g.relayer.spendRetry) }

// prepay takes the next send out of the budget, once, by a function that reports whether the budget allows it.
func (g *generation) prepay(spend func(*Request) bool) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.retryPrepaid = g.retryPrepaid || spend(g.request)
	return g.retryPrepaid
}

func (g *generation) consumePrepaid() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.retryPrepaid = false
}

// movable reports whether the generation may abandon its current send for another one.
func (g *generation) movable() bool {
	if !g.mayRepeat() || g.isSuspect() {
		return false
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.sends+1 < maxSends && g.runs+1 < max(g.request.Route.MaxAttempts, 1)
}

// abandon ends the current send, unless it has begun, and reports whether it did. An event that arrives at the same time is delivered
// or dropped together with the send.
func (g *generation) abandon(cause error) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.started || g.accepting || g.current == nil {
		return false
	}
	g.abandoned = true
	g.cancel(cause)
	return true
}

// beginAccept reports whether bytes that have arrived may be accepted; until endAccept, the send is not abandoned.
func (g *generation) beginAccept() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.accepting = !g.abandoned
	return g.accepting
}

func (g *generation) endAccept() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.accepting = false
}

// register makes a send the current one, which the watchdog checks.
func (g *generation) register(l *leg) {
	r := g.relayer
	g.mu.Lock()
	g.current, g.path, g.lastProgress, g.started, g.repairing, g.cancel = l, l.path, l.sentAt, false, false, l.cancel
	g.sendStarted, g.abandoned = l.sentAt, false
	if l.hasBegun() {
		g.lastProgress = r.Clock.Now()
	}
	g.release = l.release
	g.mu.Unlock()
	r.mu.Lock()
	defer r.mu.Unlock()
	r.streams[g] = struct{}{}
}

func (g *generation) unregister() {
	r := g.relayer
	r.mu.Lock()
	delete(r.streams, g)
	r.mu.Unlock()
	g.mu.Lock()
	defer g.mu.Unlock()
	g.current = nil
	if g.linkLost {
		g.linkLost = false
		r.Clock.AfterFunc(unheardEndTime, g.release)
		return
	}
	g.release()
}

// recordRepeat records that events have arrived that were delivered before, by a send that the stream has left.
func (g *generation) recordRepeat() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.lastProgress = g.relayer.Clock.Now()
}

// recordProgress records that events have arrived, n of them with ids.
func (g *generation) recordProgress(n int) {
	now := g.relayer.Clock.Now()
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.started {
		g.meanGap += (now.Sub(g.lastProgress) - g.meanGap) / 8
		g.relayer.recordGap(now.Sub(g.lastProgress))
	}
	workspace, service := string(g.request.Workspace), g.request.Service.Name
	if g.firstEventTime == 0 {
		g.firstEventTime = now.Sub(g.request.Arrived)
	} else {
		gap := now.Sub(g.deliveredAt)
		g.longestGap = max(g.longestGap, gap)
		g.relayer.Meter.ObserveTokenGap(workspace, service, gap)
	}
	g.deliveredAt = now
	if !g.started {
		g.relayer.recordFirstWait(now.Sub(g.lastProgress))
		g.relayer.Targets.RecordAccepted(g.path)
		g.current.pacing.RecordAnswer()
		g.relayer.Targets.RecordAnswer(g.path[0].Target, true)
	}
	if (g.started || n > 1) && !g.harmless {
		g.harmless = true
		g.relayer.Quarantiner.RecordContentAnswered(g.keys)
	}
	g.started = true
	g.eventCount += n
	g.lastProgress, g.lastEvent = now, g.events.last
}

// hasStarted reports whether the current send has delivered an event.
func (g *generation) hasStarted() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.started
}
