package main

import (
	"bufio"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"syscall"
	"time"
)

// entries keeps the addresses that the daemons name to requesters.
type entries struct {
	mu        sync.Mutex
	addresses []string
}

// follow asks the daemons, one after the other, where to connect, as often as requesters do.
func (e *entries) follow(ds []*daemon, stop <-chan struct{}) {
	client := http.Client{Timeout: time.Second}
	for {
		for _, i := range rand.Perm(len(ds)) {
			resp, err := client.Get("http://" + ds[i].directory() + "/resolution?name=" + host + "&region=r&zone=a")
			if err != nil {
				continue
			}
			var answer struct {
				Addresses []string `json:"addresses"`
			}
			err = json.NewDecoder(resp.Body).Decode(&answer)
			_ = resp.Body.Close()
			if err == nil && len(answer.Addresses) > 0 {
				e.mu.Lock()
				e.addresses = answer.Addresses
				e.mu.Unlock()
				break
			}
		}
		select {
		case <-stop:
			return
		case <-time.After(time.Second):
		}
	}
}

// pick returns one of the addresses that were named last.
func (e *entries) pick(ds []*daemon) string {
	e.mu.Lock()
	defer e.mu.Unlock()
	if len(e.addresses) == 0 {
		return ds[rand.IntN(len(ds))].front()
	}
	return e.addresses[rand.IntN(len(e.addresses))]
}

// lookup is a request on a channel of its own, which its requester then leaves open.
type lookup struct {
	id, address string
	sent, ended time.Time
	// status is 0 if there was no answer.
	status int
	err    error
	conn   net.Conn
}

// send opens a channel, makes the request and reads the answer.
func (l *lookup) send(budget time.Duration) {
	defer func() { l.ended = time.Now() }()
	l.conn, l.err = net.DialTimeout("tcp", l.address, time.Second)
	if l.err != nil {
		return
	}
	_ = l.conn.SetDeadline(l.sent.Add(budget))
	if _, l.err = fmt.Fprintf(l.conn, "GET /status/card HTTP/1.1\r\nHost: %s\r\nX-Rattantray-Request-Id: %s\r\nX-Rattantray-Request-Deadline: %d\r\n\r\n",
		host, l.id, budget.Milliseconds()); l.err != nil {
		return
	}
	resp, err := http.ReadResponse(bufio.NewReader(l.conn), &http.Request{Method: "GET"})
	if err != nil {
		l.err = err
		return
	}
	_, l.err = io.Copy(io.Discard, resp.Body)
	l.status = resp.StatusCode
}

// idleChannels: requesters leave their channels open and idle. Three of four machines are lost for good, and the requesters go on with the
// last one.
func idleChannels(p *play) (bool, error) {
	const (
		perSecond = 60
		budget    = 2500 * time.Millisecond
		lasts     = 92 * time.Second
	)
	// The requesters' channels need descriptors in this process.
	var limit syscall.Rlimit
	if err := syscall.Getrlimit(syscall.RLIMIT_NOFILE, &limit); err != nil || limit.Max < 2*descriptors {
		return false, fmt.Errorf("%d descriptors are allowed here, %d are needed", limit.Max, 2*descriptors)
	}
	_, _, _, ledger, err := p.fleet(daemons, 3, 6, 30*time.Millisecond, config(1, []m{route("status", "/status/", "idempotent", "booking", 2500, 2)}, []m{plainService("booking")}))
	if err != nil {
		return false, err
	}
	named, stop := &entries{}, make(chan struct{})
	var wait sync.WaitGroup
	wait.Go(func() { named.follow(p.daemons, stop) })
	time.Sleep(1500 * time.Millisecond)
	last := p.daemons[len(p.daemons)-1]
	if p.trouble {
		for _, d := range p.daemons[:len(p.daemons)-1] {
			d.signal(syscall.SIGKILL)
		}
		p.Say("all machines but %s are lost for good", last.name)
		time.Sleep(contact + time.Second)
	}
	// The platform asks on a channel of its own.
	var ready []time.Time
	var all []*lookup
	var mu sync.Mutex
	wait.Go(func() {
		client := http.Client{Timeout: time.Second}
		for {
			resp, err := client.Get("http://" + last.ready() + "/readiness")
			if err == nil {
				_, _ = io.Copy(io.Discard, resp.Body)
				_ = resp.Body.Close()
				if resp.StatusCode == http.StatusOK {
					mu.Lock()
					ready = append(ready, time.Now())
					mu.Unlock()
				}
			}
			select {
			case <-stop:
				return
			case <-time.After(time.Second):
			}
		}
	})
	began := time.Now()
	for time.Since(began) < lasts {
		time.Sleep(time.Duration(rand.ExpFloat64() / perSecond * float64(time.Second)))
		l := &lookup{id: fmt.Sprintf("%016x", rand.Uint64()), address: named.pick(p.daemons), sent: time.Now()}
		mu.Lock()
		all = append(all, l)
		mu.Unlock()
		wait.Go(func() { l.send(budget) })
	}
	time.Sleep(budget)
	close(stop)
	wait.Wait()
	runs := ledger.byID()
	status := map[string]int{}
	// A span without an answer begins with the first of its requests.
	var first, worstFrom, worstTo time.Time
	count, worst := 0, 0
	for _, l := range all {
		outcome := fmt.Sprint(l.status)
		if l.err != nil {
			outcome = "no answer"
		}
		status[outcome]++
		p.Printf("request %s to %s sent %.3f: %s after %d ms, ran %d times", l.id, l.address, l.sent.Sub(p.start).Seconds(), outcome,
			l.ended.Sub(l.sent).Milliseconds(), len(runs[l.id]))
		if l.err == nil {
			count = 0
			continue
		}
		if errors.Is(l.err, syscall.EMFILE) || errors.Is(l.err, syscall.EADDRNOTAVAIL) {
			return false, l.err
		}
		if count == 0 {
			first = l.sent
		}
		count++
		if l.sent.Sub(first) > worstTo.Sub(worstFrom) {
			worst, worstFrom, worstTo = count, first, l.sent
		}
	}
	said := 0
	for _, at := range ready {
		if at.After(worstFrom) && at.Before(worstTo) {
			said++
		}
	}
	for _, l := range all {
		if l.conn != nil {
			_ = l.conn.Close()
		}
	}
	for text, n := range status {
		p.Say("%s: %d", text, n)
	}
	if worst == 0 {
		p.Say("all requests were answered")
		return false, nil
	}
	p.Say("longest span in which no request on a new channel was answered: %.1f s, from %.1f s on, with %d requesters; the machine said %d times meanwhile that it is ready",
		worstTo.Sub(worstFrom).Seconds(), worstFrom.Sub(p.start).Seconds(), worst, said)
	return worstTo.Sub(worstFrom) > contact && worst >= 7 && said > 0, nil
}
