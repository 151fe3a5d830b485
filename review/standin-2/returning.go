package main

import (
	"fmt"
	"net/http"
	"sync"
	"time"
)

const (
	// returningServers is the number of servers, of which a quarter leaves over all rounds.
	returningServers = 120
	returningRounds  = 3
	leaversPerRound  = 10
	// firstLeaves is how long after the end of the silence the first server of a round leaves, and leaveInterval the time to the next.
	firstLeaves   = 400 * time.Millisecond
	leaveInterval = 200 * time.Millisecond
	// roundRest is the time from the last departure of a round to the next silence.
	roundRest = 5 * time.Second
	// workers send to the machine under test one request after the other.
	workers = 48
)

// returning lets the store turn one machine of four away by silence. Just after that has ended, servers leave: their entries are
// removed, and they serve on.
func returning(f *fleet, trouble bool) (bool, error) {
	f.proxies = true
	f.store.put("config", "main", config(7, nil))
	var mu sync.Mutex
	var runs []serverRun
	sentAt := map[string]time.Time{}
	answer := plain(5*time.Millisecond, 800)
	for i := range returningServers {
		_, err := f.addServer("booking", fmt.Sprintf("i-app%02d", i), "mittelland-"+string(rune('a'+i%3)), 6, nil, func(s *server, w http.ResponseWriter, r *http.Request) {
			mu.Lock()
			runs = append(runs, serverRun{r.Header.Get("X-Rattantray-Request-Id"), s.id, time.Now()})
			mu.Unlock()
			answer(s, w, r)
		})
		if err != nil {
			return false, err
		}
	}
	if err := f.startAll(4); err != nil {
		return false, err
	}
	g := f.gateways[0]
	stop := make(chan struct{})
	var clients sync.WaitGroup
	for n := range workers {
		clients.Go(func() {
			for i := 0; ; i++ {
				select {
				case <-stop:
					return
				case <-time.After(40 * time.Millisecond):
				}
				id := fmt.Sprintf("%02d-%06d", n, i)
				mu.Lock()
				sentAt[id] = time.Now()
				mu.Unlock()
				a := send(g.front, http.MethodPost, "/reissue/2f", id, apiKey, 2500, nil, `{"card":1}`)
				f.rec.printf("%s: %d after %d ms", id, a.status, a.took.Milliseconds())
			}
		})
	}
	left, inTouch := map[string]time.Time{}, []time.Time{}
	disturbed := []time.Time{}
	for round := range returningRounds {
		disturbed = append(disturbed, time.Now())
		if trouble {
			f.rec.printf("the store is silent for %s", g.name)
			g.storeProxy.setSilent(true)
		}
		time.Sleep(silentTime)
		g.storeProxy.setSilent(false)
		f.rec.printf("the store serves %s again", g.name)
		inTouch = append(inTouch, time.Now().Add(time.Duration(f.figures.contactMS)*time.Millisecond))
		time.Sleep(firstLeaves)
		for k := range leaversPerRound {
			s := f.servers[round*leaversPerRound+k]
			close(s.stop)
			f.store.remove("servers", s.id)
			mu.Lock()
			left[s.id] = time.Now()
			mu.Unlock()
			f.rec.printf("the entry of %s is removed: acknowledged by the store", s.id)
			time.Sleep(leaveInterval)
		}
		time.Sleep(roundRest)
	}
	close(stop)
	clients.Wait()
	mu.Lock()
	defer mu.Unlock()
	bound, held := time.Duration(f.figures.drainMS)*time.Millisecond, true
	for _, r := range runs {
		at, gone := left[r.server]
		if !gone || r.at.Sub(at) <= bound || trouble && !isInTouch(sentAt[r.id], r.at, disturbed, inTouch) {
			continue
		}
		f.rec.printf("DRAIN: request %s reaches %s %d ms after the acknowledgement", r.id, r.server, r.at.Sub(at).Milliseconds())
		held = false
	}
	return held, nil
}

// isInTouch reports whether the machine was in touch from the sending of a request to its arrival at a server.
func isInTouch(sent, arrived time.Time, disturbed, inTouch []time.Time) bool {
	for i := range disturbed {
		if arrived.After(disturbed[i]) && sent.Before(inTouch[i]) {
			return false
		}
	}
	return true
}
