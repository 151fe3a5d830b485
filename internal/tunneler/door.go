package tunneler

import (
	"context"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"
)

const (
	// maxTunnels bounds the connections that a door carries, each of which takes some 30 KB.
	maxTunnels = 1024
	// doorTimeout bounds opening a connection to a target for a peer, which waits hardly longer.
	doorTimeout = 200 * time.Millisecond
	// refusedHeader marks an answer as that for a target which refuses connections.
	refusedHeader = "Refused"
)

// Door carries connections of peers to targets; set its exported fields before use.
type Door struct {
	// Dial opens a connection to a target directly, so that connections pass one door at most.
	Dial func(ctx context.Context, address string) (net.Conn, error)
	// Allows reports whether a peer at an IP address may connect to the address of a target.
	Allows func(ip, address string) bool
	// Closed reports whether no connections are accepted, as this daemon leaves or is cut off itself.
	Closed func() bool
	Log    zerolog.Logger

	active atomic.Int64
}

// Active returns the number of connections that the door carries.
func (d *Door) Active() int { return int(d.active.Load()) }

// ServeHTTP opens a connection to a target and carries it until either side closes it.
func (d *Door) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	address := r.URL.Query().Get(addressField)
	ip, _, err := net.SplitHostPort(r.RemoteAddr)
	switch {
	case r.Header.Get("Upgrade") != protocol:
		http.Error(w, "upgrade to "+protocol+" required", http.StatusUpgradeRequired)
		return
	case err != nil || !d.Allows(ip, address):
		d.Log.Warn().Str("remote", r.RemoteAddr).Str("address", address).Msg("tunnel not allowed")
		http.Error(w, "tunnels are for gateways to listed targets", http.StatusForbidden)
		return
	case d.Closed():
		http.Error(w, "this gateway leaves, or does not reach targets", http.StatusServiceUnavailable)
		return
	}
	defer d.active.Add(-1)
	if d.active.Add(1) > maxTunnels {
		http.Error(w, "too many tunnels", http.StatusServiceUnavailable)
		return
	}
	ctx, cancel := context.WithTimeout(r.Context(), doorTimeout)
	target, err := d.Dial(ctx, address)
	cancel()
	if err != nil {
		if IsRefused(err) {
			w.Header().Set(refusedHeader, "1")
		}
		http.Error(w, err.Error(), http.StatusBadGateway)
		return
	}
	defer func() { _ = target.Close() }()
	d.carry(w, target)
}

// carry carries a connection until either side closes it.
func (d *Door) carry(w http.ResponseWriter, target net.Conn) {
	peer, buffered, err := http.NewResponseController(w).Hijack()
	if err != nil {
		d.Log.Error().Err(err).Msg("failed to take over the connection of a tunnel")
		return
	}
	defer func() { _ = peer.Close() }()
	// The server may have set a deadline for reading the request.
	if err := peer.SetDeadline(time.Time{}); err != nil {
		return
	}
	if _, err := io.WriteString(peer, "HTTP/1.1 101 Switching Protocols\r\nConnection: Upgrade\r\nUpgrade: "+protocol+"\r\n\r\n"); err != nil {
		return
	}
	go func() {
		// A peer that closes the connection ends the request at the target.
		defer func() { _ = target.Close() }()
		_, _ = io.CopyBuffer(struct{ io.Writer }{target}, struct{ io.Reader }{buffered.Reader}, make([]byte, bufferSize))
	}()
	if err := copyFrames(peer, target); err != nil {
		d.Log.Debug().Err(err).Str("address", target.RemoteAddr().String()).Msg("tunnel broke")
	}
}
