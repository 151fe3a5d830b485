package main

import (
	"errors"
	"fmt"
	"time"
)

const (
	daemons = 4
	host    = "desk.example"
	drain   = 2000 * time.Millisecond
	apply   = 2000 * time.Millisecond
	contact = 3000 * time.Millisecond
)

type m = map[string]any

// route returns a route of the configuration.
func route(name, prefix, kind, service string, timeout, attempts int) m {
	return m{
		"name": name, "host": host, "path_prefix": prefix, "kind": kind, "timeout_ms": timeout, "target_latency_ms": 150, "priority": 1,
		"service": service, "max_attempts": attempts, "public_access": false, "session_affinity": false, "resumable": false,
	}
}

func plainService(name string) m {
	return m{"name": name, "health_path": "/health", "max_connections": 96, "protocol": "h1", "tls": false}
}

// config returns a configuration.
func config(version int, routes, services []m) m {
	return m{
		"version": version, "routes": routes, "services": services,
		"limits": m{"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
	}
}

// fleet starts a store, replicas of one plain service and daemons, each with a proxy to the store.
func (p *play) fleet(count, replicas, slots int, work time.Duration, first m) (*store, []*proxy, []*replica, *ledger, error) {
	s, err := newStore()
	if err != nil {
		return nil, nil, nil, nil, err
	}
	s.Put("config", "main", first)
	l := &ledger{}
	var rs []*replica
	for i := range replicas {
		r := &replica{id: fmt.Sprintf("i-%04d", i+1), service: "booking", zone: "a", slots: slots, work: work, store: s, ledger: l}
		if err := r.start(); err != nil {
			return nil, nil, nil, nil, err
		}
		r.register()
		rs = append(rs, r)
	}
	var proxies []*proxy
	var addresses []string
	for range count {
		x, err := newProxy(s.address)
		if err != nil {
			return nil, nil, nil, nil, err
		}
		proxies, addresses = append(proxies, x), append(addresses, x.address)
	}
	if p.daemons, err = newDaemons(p.temp, addresses, 8); err != nil {
		return nil, nil, nil, nil, err
	}
	for _, d := range p.daemons {
		if err := d.start(p.root); err != nil {
			return nil, nil, nil, nil, err
		}
	}
	if !awaitReady(p.daemons, 20*time.Second) {
		return nil, nil, nil, nil, errors.New("the daemons don't get ready")
	}
	p.Say("%d daemons are ready, %d replicas", count, replicas)
	return s, proxies, rs, l, nil
}

// leavingAfterCut: the store cuts off waiting watches, twice within half a second. Soon after, a replica leaves without a word: its entry
// is removed, and it serves on for drain_ms and a little longer.
func leavingAfterCut(p *play) (bool, error) {
	const (
		before, rounds = 5, 8
		between        = 500 * time.Millisecond
		leavesAfter    = 100 * time.Millisecond
		// How much longer than drain_ms a replica serves on: each fourth time a little, else longer.
		littleLonger, longer = 600 * time.Millisecond, 1400 * time.Millisecond
	)
	s, _, rs, l, err := p.fleet(daemons, 4, 16, 100*time.Millisecond, config(1, []m{route("book", "/book/", "non_idempotent", "booking", 2500, 1)}, []m{plainService("booking")}))
	if err != nil {
		return false, err
	}
	var cutAt time.Time
	cutTwice := func() {
		if p.trouble {
			s.CutWatches()
		}
		time.Sleep(between)
		if p.trouble {
			s.CutWatches()
		}
		cutAt = time.Now()
	}
	c, stop := &client{host: host}, make(chan struct{})
	c.load(p.daemons, 200, stop, func(d *daemon) { c.send(d, "POST", "/book/seat", "", []byte("one seat"), 2500*time.Millisecond) })
	time.Sleep(2 * time.Second)
	for range before {
		cutTwice()
		time.Sleep(2 * time.Second)
	}
	p.Say("the store has cut off the waiting watches %d times, twice each", before)
	type leaving struct {
		id                   string
		cut, removed, exited time.Time
	}
	var all []leaving
	for i := range rounds {
		time.Sleep(2 * time.Second)
		next := &replica{
			id: fmt.Sprintf("i-%04d", len(rs)+1), service: "booking", zone: "a", slots: 16, work: 100 * time.Millisecond, store: s, ledger: l,
		}
		if err := next.start(); err != nil {
			return false, err
		}
		next.register()
		rs = append(rs, next)
		time.Sleep(2 * time.Second)
		cutTwice()
		time.Sleep(leavesAfter)
		gone := rs[i]
		s.Remove("servers", gone.id)
		g := leaving{id: gone.id, cut: cutAt, removed: time.Now()}
		p.Say("the store has removed the entry of %s, %d ms after the last cut", gone.id, g.removed.Sub(g.cut).Milliseconds())
		servesOn := drain + longer
		if i%4 == 0 {
			servesOn = drain + littleLonger
		}
		time.Sleep(servesOn)
		gone.exit()
		g.exited = time.Now()
		all = append(all, g)
		p.Say("%s exits", gone.id)
	}
	time.Sleep(3 * time.Second)
	close(stop)
	c.wait.Wait()
	late, strict, lost := 0, 0, 0
	runs := l.byID()
	for _, a := range c.attempts() {
		p.Printf("request %s through %s sent %.3f: %s after %d ms", a.id, a.daemon, a.sent.Sub(p.start).Seconds(), a.outcome(), a.ended.Sub(a.sent).Milliseconds())
		for _, r := range runs[a.id] {
			p.Printf("  ran at %s from %.3f, whole answer: %t", r.replica, r.began.Sub(p.start).Seconds(), r.whole)
			for _, g := range all {
				if r.replica != g.id || r.began.Sub(g.removed) <= drain {
					continue
				}
				late++
				if a.sent.Sub(g.cut) > contact {
					strict++
				}
				if !r.whole {
					lost++
				}
				p.Printf("  LATE: %d ms after the acknowledgement, sent %d ms after the last cut, answered to the client: %s",
					r.began.Sub(g.removed).Milliseconds(), a.sent.Sub(g.cut).Milliseconds(), a.outcome())
			}
		}
	}
	p.Say("%d requests reached a replica over %d ms after the acknowledgement that it is gone, %d of them sent over %d ms after the last cut; %d of them were lost",
		late, drain.Milliseconds(), strict, contact.Milliseconds(), lost)
	return strict > 0, nil
}

// silentConfig: the open channels to the store go silent for good; new ones work. Later, the operator moves a route to another service.
func silentConfig(p *play) (bool, error) {
	services := []m{plainService("booking"), plainService("booking-new")}
	routes := func(service string) []m {
		return []m{route("book", "/book/", "non_idempotent", service, 2500, 1), route("try", "/try/", "non_idempotent", "booking-new", 2500, 1)}
	}
	s, proxies, _, l, err := p.fleet(daemons, 3, 6, 30*time.Millisecond, config(1, routes("booking"), services))
	if err != nil {
		return false, err
	}
	for i := range 3 {
		r := &replica{id: fmt.Sprintf("i-new-%d", i+1), service: "booking-new", zone: "a", slots: 6, work: 30 * time.Millisecond, store: s, ledger: l}
		if err := r.start(); err != nil {
			return false, err
		}
		r.register()
	}
	c, stop := &client{host: host}, make(chan struct{})
	c.load(p.daemons, 40, stop, func(d *daemon) { c.send(d, "POST", "/book/seat", "", []byte("one seat"), 2500*time.Millisecond) })
	time.Sleep(8 * time.Second)
	silentAt := time.Now()
	if p.trouble {
		n := 0
		for _, x := range proxies {
			n += x.Silence()
		}
		p.Say("%d open channels to the store go silent", n)
	}
	time.Sleep(4 * time.Second)
	s.Put("config", "main", config(2, routes("booking-new"), services))
	acknowledged := time.Now()
	p.Say("the store has acknowledged version 2, in which booking-new serves the route")
	time.Sleep(12 * time.Second)
	close(stop)
	c.wait.Wait()
	runs := l.byID()
	late, last := 0, time.Duration(0)
	for _, a := range c.attempts() {
		p.Printf("request %s through %s sent %.3f: %s after %d ms", a.id, a.daemon, a.sent.Sub(p.start).Seconds(), a.outcome(), a.ended.Sub(a.sent).Milliseconds())
		for _, r := range runs[a.id] {
			p.Printf("  ran at %s of %s from %.3f, whole answer: %t", r.replica, r.service, r.began.Sub(p.start).Seconds(), r.whole)
			if r.service != "booking" || a.sent.Before(acknowledged) {
				continue
			}
			since := a.sent.Sub(acknowledged)
			last = max(last, since)
			if since > apply && a.sent.Sub(silentAt) > contact {
				late++
				p.Printf("  LATE: sent %d ms after the acknowledgement, %d ms after the silence", since.Milliseconds(), a.sent.Sub(silentAt).Milliseconds())
			}
		}
	}
	p.Say("%d requests that were sent over %d ms after the acknowledgement ran at the old service; the last of them all was sent %d ms after it",
		late, apply.Milliseconds(), last.Milliseconds())
	return late > 0, nil
}
