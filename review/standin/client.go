package main

import (
	"bytes"
	"context"
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"time"
)

// attempt is one request of a client and what came of it.
type attempt struct {
	id, method, path, daemon, key string
	sent, ended                   time.Time
	// status is 0 if the channel ended without an answer.
	status  int
	signed  bool
	err     error
	replica string
}

// outcome returns the answer in words.
func (a attempt) outcome() string {
	if a.err != nil {
		return "no answer: " + a.err.Error()
	}
	return fmt.Sprintf("%d", a.status)
}

// client sends requests, each on a channel of its own.
type client struct {
	host string
	mu   sync.Mutex
	all  []*attempt
	wait sync.WaitGroup
}

// send makes one request and waits for its answer.
func (c *client) send(d *daemon, method, path, key string, body []byte, budget time.Duration) *attempt {
	a := &attempt{id: fmt.Sprintf("%016x", rand.Uint64()), method: method, path: path, daemon: d.name, key: key, sent: time.Now()}
	c.mu.Lock()
	c.all = append(c.all, a)
	c.mu.Unlock()
	dialer := net.Dialer{Timeout: time.Second}
	transport := &http.Transport{DisableKeepAlives: true, DisableCompression: true, DialContext: dialer.DialContext}
	defer transport.CloseIdleConnections()
	ctx, cancel := context.WithTimeout(context.Background(), budget+time.Second)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, method, "http://"+d.front()+path, bytes.NewReader(body))
	if err != nil {
		panic(err)
	}
	// A request is sent once: without GetBody nothing sends it again.
	req.GetBody = nil
	req.Host = c.host
	req.Header.Set("X-Rattantray-Request-Id", a.id)
	req.Header.Set("X-Rattantray-Request-Deadline", fmt.Sprint(budget.Milliseconds()))
	if key != "" {
		req.Header.Set("Api-Key", key)
	}
	resp, err := transport.RoundTrip(req)
	var data []byte
	if err == nil {
		data, err = io.ReadAll(resp.Body)
		_ = resp.Body.Close()
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	a.ended, a.err = time.Now(), err
	if err == nil {
		sum := sha256.Sum256(data)
		a.status, a.signed = resp.StatusCode, resp.Header.Get("X-Rattantray-Response-Signature") == hex.EncodeToString(sum[:])
	}
	return a
}

// attempts returns copies of the attempts that have ended.
func (c *client) attempts() []attempt {
	c.mu.Lock()
	defer c.mu.Unlock()
	var out []attempt
	for _, a := range c.all {
		if !a.ended.IsZero() {
			out = append(out, *a)
		}
	}
	return out
}

// load sends requests at a rate to random daemons until stop is closed.
func (c *client) load(ds []*daemon, perSecond float64, stop <-chan struct{}, one func(d *daemon)) {
	c.wait.Go(func() {
		for {
			select {
			case <-stop:
				return
			case <-time.After(time.Duration(rand.ExpFloat64() / perSecond * float64(time.Second))):
			}
			c.wait.Go(func() { one(ds[rand.IntN(len(ds))]) })
		}
	})
}
