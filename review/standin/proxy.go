package main

import (
	"io"
	"net"
	"sync"
)

// proxy forwards TCP connections to an upstream address. It may make the open ones silent for good, without a reset; new ones work.
type proxy struct {
	address  string
	upstream string

	mu sync.Mutex
	// silence is closed once the connections of its time forward nothing more.
	silence chan struct{}
	open    int
}

func newProxy(upstream string) (*proxy, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	p := &proxy{address: l.Addr().String(), upstream: upstream, silence: make(chan struct{})}
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

// Silence makes the open connections silent, and returns their number.
func (p *proxy) Silence() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	close(p.silence)
	p.silence = make(chan struct{})
	return p.open
}

func (p *proxy) carry(c net.Conn) {
	u, err := net.Dial("tcp", p.upstream)
	if err != nil {
		_ = c.Close()
		return
	}
	p.mu.Lock()
	silence := p.silence
	p.open++
	p.mu.Unlock()
	var both sync.WaitGroup
	for _, pair := range [][2]net.Conn{{c, u}, {u, c}} {
		both.Go(func() { forward(pair[1], pair[0], silence) })
	}
	both.Wait()
	_, _ = c.Close(), u.Close()
	p.mu.Lock()
	p.open--
	p.mu.Unlock()
}

// forward copies bytes until an end; once the connection is silent it passes on nothing more, not even the end.
func forward(to, from net.Conn, silence chan struct{}) {
	buffer := make([]byte, 32<<10)
	for {
		n, err := from.Read(buffer)
		select {
		case <-silence:
			if err != nil {
				return
			}
			continue
		default:
		}
		if n > 0 {
			if _, err := to.Write(buffer[:n]); err != nil {
				_ = from.Close()
				return
			}
		}
		if err != nil {
			if err == io.EOF {
				_ = to.(*net.TCPConn).CloseWrite()
			} else {
				_ = to.(*net.TCPConn).SetLinger(0)
				_ = to.Close()
			}
			return
		}
	}
}
