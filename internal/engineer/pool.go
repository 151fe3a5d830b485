package engineer

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"
)

const (
	dialTimeout     = 2 * time.Second
	keepAlivePeriod = 15 * time.Second
	idleTimeout     = 90 * time.Second
	pingTimeout     = 5 * time.Second
)

// HTTPClient returns a client that speaks HTTP/2 without TLS.
func HTTPClient() *http.Client {
	dialer := &net.Dialer{Timeout: dialTimeout, KeepAlive: keepAlivePeriod}
	return HTTPClientOver(dialer.DialContext)
}

// HTTPClientOver returns a client that speaks HTTP/2 without TLS over the connections of dial.
func HTTPClientOver(dial func(ctx context.Context, network, address string) (net.Conn, error)) *http.Client {
	protocols := new(http.Protocols)
	protocols.SetUnencryptedHTTP2(true)
	return &http.Client{Transport: bufferingTransport{&http.Transport{
		DialContext:     dial,
		Protocols:       protocols,
		IdleConnTimeout: idleTimeout,
		HTTP2: &http.HTTP2Config{
			SendPingTimeout: keepAlivePeriod,
			PingTimeout:     pingTimeout,
		},
	}}}
}

// Pool provides one Engine per address; all use the connections of one client.
type Pool struct {
	client  *http.Client
	mu      sync.RWMutex
	engines map[string]*Engine
}

// NewPool returns a pool over client.
func NewPool(client *http.Client) *Pool {
	return &Pool{client: client, engines: make(map[string]*Engine)}
}

// Get returns the engine at address (host:port) and creates it on first use.
func (p *Pool) Get(address string) *Engine {
	p.mu.RLock()
	e := p.engines[address]
	p.mu.RUnlock()
	if e != nil {
		return e
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if e := p.engines[address]; e != nil {
		return e
	}
	e = New(p.client, address)
	p.engines[address] = e
	return e
}

// Retain removes every engine whose address is not in addresses.
func (p *Pool) Retain(addresses map[string]bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for a := range p.engines {
		if !addresses[a] {
			delete(p.engines, a)
		}
	}
}

// Close closes the idle connections.
func (p *Pool) Close() { p.client.CloseIdleConnections() }
