package main

import (
	"fmt"
	"net/http"
	"sync"
	"time"
)

const (
	// watchersGateways is the size of the fleet, and silentShare the largest share of its machines that the store turns away.
	watchersGateways = 16
	silentShare      = 0.35
	silentTime       = 9 * time.Second
	// changeAfter is how long after the beginning of the silence the change comes.
	changeAfter = 200 * time.Millisecond
	// requestInterval is the time between two requests to one machine.
	requestInterval = 50 * time.Millisecond
	// firstWatches is longer than any watch waits.
	firstWatches = 32 * time.Second
	watchTime    = 8 * time.Second
)

// serverRun is a request at a server.
type serverRun struct {
	id, server string
	at         time.Time
}

// turnedAway is a fleet for which the store falls silent on those machines that hold a channel to it, while it serves the others, the
// servers and the operator. Requests come to all machines throughout.
type turnedAway struct {
	*fleet
	key    string
	silent map[int]bool
	mu     sync.Mutex
	runs   []serverRun
	// sentAt is when each request was sent.
	sentAt map[string]time.Time
}

// play starts the fleet, makes the change a moment after the silence has begun, and returns when it was acknowledged.
func (t *turnedAway) play(trouble bool, change func()) (acknowledged time.Time, err error) {
	t.figures, t.proxies = grownFigures, true
	answer := plain(20*time.Millisecond, 800)
	for i := range 4 {
		_, err := t.addServer("booking", fmt.Sprintf("i-app%d", i), "mittelland-"+string(rune('a'+i%3)), 60, nil, func(s *server, w http.ResponseWriter, r *http.Request) {
			t.mu.Lock()
			t.runs = append(t.runs, serverRun{r.Header.Get("X-Rattantray-Request-Id"), s.id, time.Now()})
			t.mu.Unlock()
			answer(s, w, r)
		})
		if err != nil {
			return acknowledged, err
		}
	}
	if err := t.startAll(watchersGateways); err != nil {
		return acknowledged, err
	}
	// Until the first wait of their watches is over, all machines hold a channel.
	time.Sleep(firstWatches)
	stop := t.startTraffic()
	defer stop()
	time.Sleep(time.Second)
	t.silent = map[int]bool{}
	for n, g := range t.gateways {
		if g.storeProxy.waits(time.Second) && float64(len(t.silent)+1) <= silentShare*watchersGateways {
			t.silent[n] = true
			t.rec.printf("%s holds a channel that waits at the store", g.name)
		}
	}
	if len(t.silent) == 0 {
		return acknowledged, fmt.Errorf("%w: no machine watches the store", errSetup)
	}
	if trouble {
		for n := range t.silent {
			t.gateways[n].storeProxy.setSilent(true)
			t.rec.printf("the store is silent for %s", t.gateways[n].name)
		}
		time.AfterFunc(silentTime, func() {
			for n := range t.silent {
				t.gateways[n].storeProxy.setSilent(false)
			}
		})
	} else {
		t.silent = map[int]bool{}
	}
	time.Sleep(changeAfter)
	change()
	acknowledged = time.Now()
	time.Sleep(watchTime)
	return acknowledged, nil
}

// startTraffic sends requests to all machines until stop is called, which waits for their answers.
func (t *turnedAway) startTraffic() (stop func()) {
	t.sentAt = map[string]time.Time{}
	ended := make(chan struct{})
	var clients sync.WaitGroup
	for n, g := range t.gateways {
		clients.Go(func() {
			for i := 0; ; i++ {
				select {
				case <-ended:
					return
				case <-time.After(requestInterval):
				}
				clients.Go(func() {
					id := fmt.Sprintf("%02d-%06d", n, i)
					t.mu.Lock()
					t.sentAt[id] = time.Now()
					t.mu.Unlock()
					a := send(g.front, http.MethodGet, "/lookup/2f", id, t.key, 2500, nil, "")
					t.rec.printf("%s sent to %s: %d after %d ms", id, g.name, a.status, a.took.Milliseconds())
				})
			}
		})
	}
	return func() {
		close(ended)
		clients.Wait()
	}
}

// machine returns the number of the machine to which a request was sent.
func machine(id string) int {
	n := -1
	_, _ = fmt.Sscanf(id, "%d-", &n)
	return n
}

// report writes how late each machine was.
func (t *turnedAway) report(what string, last map[int]time.Duration) {
	for n, g := range t.gateways {
		t.rec.printf("%s, the store silent for it %t: %s %d ms after the acknowledgement", g.name, t.silent[n], what, last[n].Milliseconds())
	}
}

// watchers lets a server leave: it reports that it is draining, and serves on.
func watchers(f *fleet, trouble bool) (bool, error) {
	t := &turnedAway{fleet: f, key: apiKey}
	f.store.put("config", "main", config(7, nil))
	acknowledged, err := t.play(trouble, func() {
		f.servers[0].setState("draining")
		f.rec.printf("%s is draining: acknowledged by the store", f.servers[0].id)
	})
	if err != nil {
		return false, err
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	held, last := true, map[int]time.Duration{}
	bound := time.Duration(f.figures.drainMS) * time.Millisecond
	for _, r := range t.runs {
		n, after := machine(r.id), r.at.Sub(acknowledged)
		if r.server != f.servers[0].id || n < 0 {
			continue
		}
		last[n] = max(last[n], after)
		// Machines that the store turns away are not in touch.
		if after > bound && !t.silent[n] {
			f.rec.printf("DRAIN: request %s from %s reaches %s %d ms after the acknowledgement", r.id, f.gateways[n].name, r.server, after.Milliseconds())
			held = false
		}
	}
	t.report("last request to "+f.servers[0].id, last)
	return held, nil
}

// revoked takes the key of a tenant away.
func revoked(f *fleet, trouble bool) (bool, error) {
	t := &turnedAway{fleet: f, key: "anfqasnmgkcuyj8pjbvk"}
	withKeys := func(version int, keys ...string) map[string]any {
		c := config(version, nil)
		c["tenants"] = []any{
			map[string]any{"name": "hule930", "api_keys": []string{apiKey}, "priority": 1},
			map[string]any{"name": "zoma114", "api_keys": keys, "priority": 1},
		}
		return c
	}
	f.store.put("config", "main", withKeys(7, t.key))
	acknowledged, err := t.play(trouble, func() {
		f.store.put("config", "main", withKeys(9, "another6nmgkcuyj8pjbvk"))
		f.rec.printf("version 9 takes the key away: acknowledged by the store")
	})
	if err != nil {
		return false, err
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	held, last := true, map[int]time.Duration{}
	bound := time.Duration(f.figures.configApplyMS) * time.Millisecond
	for _, r := range t.runs {
		n, after := machine(r.id), t.sentAt[r.id].Sub(acknowledged)
		if n < 0 {
			continue
		}
		last[n] = max(last[n], after)
		if after > bound && !t.silent[n] {
			f.rec.printf("CONFIG: request %s, sent to %s %d ms after the acknowledgement with the key that was taken away, runs at %s", r.id, f.gateways[n].name, after.Milliseconds(), r.server)
			held = false
		}
	}
	t.report("last request that ran with the key sent", last)
	return held, nil
}
