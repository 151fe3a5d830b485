package exchanger

import (
	"sync"
	"time"
)

// maxIdle bounds the idle connections to one address.
const maxIdle = 64

// idleConns holds connections without a request, the newest last; its zero value is empty.
type idleConns struct {
	mu        sync.Mutex
	byAddress map[string][]*conn
}

// take removes and returns the most recently used connection, or nil if there is none; expired connections are closed.
func (i *idleConns) take(address string, now time.Time) *conn {
	i.mu.Lock()
	defer i.mu.Unlock()
	list := i.byAddress[address]
	kept := 0
	for _, c := range list {
		if c.expires.After(now) {
			list[kept] = c
			kept++
		} else {
			_ = c.Close()
		}
	}
	clear(list[kept:])
	list = list[:kept]
	if kept == 0 {
		delete(i.byAddress, address)
		return nil
	}
	c := list[kept-1]
	i.byAddress[address] = list[:kept-1]
	return c
}

func (i *idleConns) put(c *conn, address string) bool {
	i.mu.Lock()
	defer i.mu.Unlock()
	if i.byAddress == nil {
		i.byAddress = map[string][]*conn{}
	}
	if len(i.byAddress[address]) >= maxIdle {
		return false
	}
	i.byAddress[address] = append(i.byAddress[address], c)
	return true
}

func (i *idleConns) close(address string) {
	i.mu.Lock()
	defer i.mu.Unlock()
	for a, list := range i.byAddress {
		if address != "" && a != address {
			continue
		}
		for _, c := range list {
			_ = c.Close()
		}
		delete(i.byAddress, a)
	}
}
