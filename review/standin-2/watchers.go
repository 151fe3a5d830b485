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
	// leavesAfter is how long after the beginning of the silence the server leaves.
	leavesAfter = 200 * time.Millisecond
	// requestInterval is the time between two requests to one machine.
	requestInterval = 25 * time.Millisecond
	// firstWatches is longer than any watch waits.
	firstWatches = 32 * time.Second
)

// arrival is a request at a server that leaves.
type arrival struct {
	id string
	at time.Time
}

// watchers lets the store fall silent for those machines that hold a channel to it, while it serves the others and the operator. A
// moment later a server reports that it is draining; it serves on.
func watchers(f *fleet, trouble bool) (bool, error) {
	f.figures, f.proxies = grownFigures, true
	f.store.put("config", "main", config(7, nil))
	var mu sync.Mutex
	var arrivals []arrival
	leaver := "i-app0"
	answer := plain(20*time.Millisecond, 800)
	handle := func(s *server, w http.ResponseWriter, r *http.Request) {
		if s.id == leaver {
			mu.Lock()
			arrivals = append(arrivals, arrival{r.Header.Get("X-Rattantray-Request-Id"), time.Now()})
			mu.Unlock()
		}
		answer(s, w, r)
	}
	for i := range 4 {
		if _, err := f.addServer("booking", fmt.Sprintf("i-app%d", i), "mittelland-"+string(rune('a'+i%3)), 60, nil, handle); err != nil {
			return false, err
		}
	}
	if err := f.startAll(watchersGateways); err != nil {
		return false, err
	}
	// Until the first wait of their watches is over, all machines hold a channel.
	time.Sleep(firstWatches)

	// Traffic for all machines.
	stop := make(chan struct{})
	var clients sync.WaitGroup
	for n, g := range f.gateways {
		clients.Go(func() {
			for i := 0; ; i++ {
				select {
				case <-stop:
					return
				case <-time.After(requestInterval):
				}
				clients.Go(func() {
					send(g.front, http.MethodGet, "/lookup/2f", fmt.Sprintf("%02d-%06d", n, i), apiKey, 2500, nil, "")
				})
			}
		})
	}
	defer func() {
		close(stop)
		clients.Wait()
	}()
	time.Sleep(time.Second)

	silent := map[int]bool{}
	for n, g := range f.gateways {
		if g.storeProxy.waits(time.Second) && float64(len(silent)+1) <= silentShare*watchersGateways {
			silent[n] = true
		}
	}
	f.rec.printf("machines with a channel that waits at the store: %v", silent)
	if len(silent) == 0 {
		return false, fmt.Errorf("%w: no machine watches the store", errSetup)
	}
	if trouble {
		for n := range silent {
			f.gateways[n].storeProxy.setSilent(true)
			f.rec.printf("the store is silent for %s", f.gateways[n].name)
		}
		time.AfterFunc(silentTime, func() {
			for n := range silent {
				f.gateways[n].storeProxy.setSilent(false)
			}
		})
	}
	time.Sleep(leavesAfter)
	f.servers[0].setState("draining")
	acknowledged := time.Now()
	f.rec.printf("%s is draining: acknowledged by the store", leaver)
	time.Sleep(8 * time.Second)

	mu.Lock()
	defer mu.Unlock()
	held := true
	last := map[int]time.Duration{}
	for _, a := range arrivals {
		var n int
		if _, err := fmt.Sscanf(a.id, "%d-", &n); err != nil {
			continue
		}
		after := a.at.Sub(acknowledged)
		last[n] = max(last[n], after)
		// Machines for which the store was silent are not in touch.
		if bound := time.Duration(f.figures.drainMS) * time.Millisecond; after > bound && !(trouble && silent[n]) {
			f.rec.printf("DRAIN: request %s from %s reaches %s %d ms after the acknowledgement", a.id, f.gateways[n].name, leaver, after.Milliseconds())
			held = false
		}
	}
	for n, g := range f.gateways {
		f.rec.printf("%s, silent store %t: last request to %s %d ms after the acknowledgement", g.name, trouble && silent[n], leaver, last[n].Milliseconds())
	}
	return held, nil
}
