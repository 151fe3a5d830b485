package main

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"sync"
	"time"
)

// leavingShare is the share of the requesters that leave, and leaveAfter when they do.
const (
	leavingShare = 0.3
	leaveAfter   = 75 * time.Millisecond
)

// leaving lets some requesters leave before their time budget. They close their channel in order: first the direction in which they
// send, then, once the other side has ended as well, the rest.
func leaving(f *fleet, trouble bool) (bool, error) {
	f.store.put("config", "main", config(7, nil))
	for i := range 3 {
		if _, err := f.addServer("booking", fmt.Sprintf("i-app%d", i), "mittelland-a", 6, nil, plain(150*time.Millisecond, 800)); err != nil {
			return false, err
		}
	}
	if err := f.startAll(2); err != nil {
		return false, err
	}
	var wg sync.WaitGroup
	var mu sync.Mutex
	held, answered := true, 0
	for i := range 40 {
		leaves := trouble && float64(i%10) < 10*leavingShare
		wg.Go(func() {
			a, id := leavingRequest(f.gateways[i%2].front, i, leaves)
			f.rec.printf("requester %d: %s, leaves %t: status %d, signature %q, %d bytes, complete %t, after %d ms, error %v",
				i, id, leaves, a.status, a.header.Get(signature), len(a.body), a.complete, a.took.Milliseconds(), a.err)
			mu.Lock()
			defer mu.Unlock()
			if !leaves && a.status == http.StatusOK && a.complete {
				answered++
			}
			if a.status >= 200 && a.status < 300 && a.complete && a.header.Get(signature) == "" {
				f.rec.printf("MIXED: requester %d gets %d without the signature of a replica", i, a.status)
				held = false
			}
		})
		time.Sleep(100 * time.Millisecond)
	}
	wg.Wait()
	f.rec.printf("answered in full: %d of those that stayed", answered)
	if answered == 0 {
		return false, fmt.Errorf("%w: nothing was served", errSetup)
	}
	return held, nil
}

func leavingRequest(address string, i int, leaves bool) (answer, string) {
	id, method, path, body := fmt.Sprintf("leave%011x", i), http.MethodPost, "/reissue/2f", `{"card":1}`
	if i%4 == 3 {
		method, path, body = http.MethodGet, "/lookup/2f", ""
	}
	began := time.Now()
	c, err := net.DialTimeout("tcp", address, time.Second)
	if err != nil {
		return answer{err: err}, id
	}
	defer c.Close()
	if leaves {
		stop := time.AfterFunc(leaveAfter, func() { _ = c.(*net.TCPConn).CloseWrite() })
		defer stop.Stop()
	}
	return exchange(c, bufio.NewReader(c), began, method, path, id, apiKey, 2500, nil, body), id
}
