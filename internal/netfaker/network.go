package netfaker

import (
	"context"
	"net"
	"strconv"
	"sync"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
)

const firstFreePort = 40_000

// Network connects hosts in memory.
type Network struct {
	// Latency returns the one-way delay between two hosts; nil means no delay.
	Latency func(from, to string) time.Duration

	mu        sync.Mutex
	listeners map[string]*listener
	conns     map[*conn]struct{}
	dead      map[string]bool
	blocked   map[pair]bool
	healed    chan struct{}
	nextPort  int
}

type pair struct{ from, to string }

// New returns a network without hosts.
func New() *Network {
	return &Network{
		listeners: map[string]*listener{},
		conns:     map[*conn]struct{}{},
		dead:      map[string]bool{},
		blocked:   map[pair]bool{},
		healed:    make(chan struct{}),
		nextPort:  firstFreePort,
	}
}

// Host is a machine, identified by its IP address.
type Host struct {
	net *Network
	ip  string
}

// Host returns the machine with an IP address.
func (n *Network) Host(ip string) *Host { return &Host{net: n, ip: ip} }

// Listen listens on an address of the host; port 0 selects a free one.
func (h *Host) Listen(_, address string) (net.Listener, error) {
	ip, port, err := net.SplitHostPort(address)
	if err != nil {
		return nil, err
	}
	n := h.net
	n.mu.Lock()
	defer n.mu.Unlock()
	if port == "0" {
		n.nextPort++
		port = strconv.Itoa(n.nextPort)
	}
	address = net.JoinHostPort(ip, port)
	if n.listeners[address] != nil {
		return nil, opError("listen", syscall.EADDRINUSE)
	}
	l := newListener(n, address)
	n.listeners[address] = l
	return l, nil
}

// Dial connects the host to an address. A dead host refuses; a dial to a blocked one waits until it is unblocked or ctx is done.
func (h *Host) Dial(ctx context.Context, _, address string) (net.Conn, error) {
	ip, _, err := net.SplitHostPort(address)
	if err != nil {
		return nil, err
	}
	n := h.net
	for {
		n.mu.Lock()
		if n.dead[h.ip] || n.dead[ip] {
			n.mu.Unlock()
			return nil, opError("dial", syscall.ECONNREFUSED)
		}
		if !n.blocked[pair{h.ip, ip}] && !n.blocked[pair{ip, h.ip}] {
			conn, err := n.connect(h.ip, ip, address)
			n.mu.Unlock()
			return conn, err
		}
		healed := n.healed
		n.mu.Unlock()
		select {
		case <-healed:
		case <-ctx.Done():
			return nil, opError("dial", ctx.Err())
		}
	}
}

// connect makes a connection. The caller holds n.mu.
func (n *Network) connect(from, to, address string) (net.Conn, error) {
	l := n.listeners[address]
	if l == nil {
		return nil, opError("dial", syscall.ECONNREFUSED)
	}
	n.nextPort++
	local := tcpAddr(net.JoinHostPort(from, strconv.Itoa(n.nextPort)))
	client := &conn{net: n, local: local, remote: tcpAddr(address)}
	server := &conn{net: n, local: tcpAddr(address), remote: local}
	outbound := newPipe(n, from, to)
	inbound := newPipe(n, to, from)
	client.in, client.out = inbound, outbound
	server.in, server.out = outbound, inbound
	if !l.enqueue(server) {
		return nil, opError("dial", syscall.ECONNREFUSED)
	}
	n.conns[client] = struct{}{}
	n.conns[server] = struct{}{}
	return client, nil
}

// Kill resets every connection of a host, closes its listeners and refuses new connections until Revive.
func (n *Network) Kill(ip string) {
	n.mu.Lock()
	n.dead[ip] = true
	var cut []*conn
	for c := range n.conns {
		if c.in.to == ip || c.in.from == ip {
			cut = append(cut, c)
		}
	}
	for address, l := range n.listeners {
		if host, _, _ := net.SplitHostPort(address); host == ip {
			delete(n.listeners, address)
			l.stop()
		}
	}
	n.mu.Unlock()
	for _, c := range cut {
		c.reset()
	}
}

// Revive lets a killed host listen and dial again.
func (n *Network) Revive(ip string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	delete(n.dead, ip)
}

// Block holds back all data from one host to another until Unblock. None is lost, since TCP would resend it.
func (n *Network) Block(from, to string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.blocked[pair{from, to}] = true
}

// Unblock ends a Block and delivers the data that it held back.
func (n *Network) Unblock(from, to string) {
	n.unblockAndWake(func() { delete(n.blocked, pair{from, to}) })
}

// UnblockAll ends every Block.
func (n *Network) UnblockAll() {
	n.unblockAndWake(func() { clear(n.blocked) })
}

func (n *Network) unblockAndWake(unblock func()) {
	n.mu.Lock()
	unblock()
	close(n.healed)
	n.healed = make(chan struct{})
	var waiting []*pipe
	for c := range n.conns {
		waiting = append(waiting, c.in)
	}
	n.mu.Unlock()
	for _, p := range waiting {
		p.wakeReader()
	}
}

// Silence makes the open connections of a host silent for good, without a reset; later ones work.
func (n *Network) Silence(ip string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for c := range n.conns {
		if c.in.to == ip || c.in.from == ip {
			c.in.silence()
		}
	}
}

// Partition blocks both directions between two groups of hosts; heal ends it.
func (n *Network) Partition(a, b []string) (heal func()) {
	forEachPair := func(f func(from, to string)) {
		for _, x := range a {
			for _, y := range b {
				f(x, y)
				f(y, x)
			}
		}
	}
	forEachPair(n.Block)
	return func() { forEachPair(n.Unblock) }
}

func (n *Network) isBlocked(from, to string) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.blocked[pair{from, to}]
}

func (n *Network) delay(from, to string) time.Duration {
	if n.Latency == nil {
		return 0
	}
	return n.Latency(from, to)
}

func (n *Network) removeConn(c *conn) {
	n.mu.Lock()
	defer n.mu.Unlock()
	delete(n.conns, c)
}

func (n *Network) removeListener(l *listener) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.listeners[l.address] == l {
		delete(n.listeners, l.address)
	}
}

func opError(op string, err error) error {
	return &net.OpError{Op: op, Net: "tcp", Err: err}
}

func tcpAddr(address string) net.Addr {
	host, port, _ := net.SplitHostPort(address)
	number, _ := strconv.Atoi(port)
	return &net.TCPAddr{IP: net.ParseIP(host), Port: number}
}

var errConnReset = errors.New("connection reset by peer")
