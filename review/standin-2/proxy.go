package main

import (
	"io"
	"net"
	"sync"
	"time"
)

// proxy passes one machine's channels to the store on. While it is silent it passes nothing on, in either direction, and accepts new
// channels that stay silent.
type proxy struct {
	Address string
	target  string

	mu     sync.Mutex
	silent bool
	open   int
	// longest is since when the oldest open channel is open.
	opened map[net.Conn]time.Time
}

func newProxy(ip, target string) (*proxy, error) {
	l, err := net.Listen("tcp", ip+":0")
	if err != nil {
		return nil, err
	}
	p := &proxy{Address: l.Addr().String(), target: target, opened: map[net.Conn]time.Time{}}
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go p.carry(c)
		}
	}()
	return p, nil
}

// setSilent makes the proxy silent, or ends that. Channels that were open or opened while it was silent stay silent until they are
// closed.
func (p *proxy) setSilent(silent bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.silent = silent
}

func (p *proxy) isSilent() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.silent
}

// waits reports whether a channel has been open for a time: that of a watch that waits.
func (p *proxy) waits(d time.Duration) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, since := range p.opened {
		if time.Since(since) >= d {
			return true
		}
	}
	return false
}

func (p *proxy) carry(c net.Conn) {
	defer c.Close()
	p.mu.Lock()
	p.opened[c] = time.Now()
	p.mu.Unlock()
	defer func() {
		p.mu.Lock()
		delete(p.opened, c)
		p.mu.Unlock()
	}()
	if p.isSilent() {
		_, _ = io.Copy(io.Discard, c)
		return
	}
	up, err := net.Dial("tcp", p.target)
	if err != nil {
		return
	}
	defer up.Close()
	go func() {
		p.copy(up, c)
		up.Close()
		c.Close()
	}()
	p.copy(c, up)
}

// copy passes bytes on until the proxy turns silent; then it drops them until the channel is closed.
func (p *proxy) copy(to io.Writer, from io.Reader) {
	buffer := make([]byte, 32<<10)
	dead := false
	for {
		n, err := from.Read(buffer)
		if n > 0 && !dead {
			if dead = p.isSilent(); !dead {
				if _, err := to.Write(buffer[:n]); err != nil {
					return
				}
			}
		}
		if err != nil {
			return
		}
	}
}
