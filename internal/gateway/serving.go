package gateway

import (
	"context"
	"net"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/rattantray/rattantray/internal/previewer"
)

const (
	// headerTimeout bounds reading the header of a request; it is over what any configuration asks for.
	headerTimeout = 20 * time.Second
	// idleTimeout is how long a connection without requests is kept before a configuration is known, and between daemons. It is
	// longer than headerTimeout, by which idle connections are told from others.
	idleTimeout = 5 * time.Minute
	// maxHeaderBytes is over what any configuration allows; the handler checks the limit in force.
	maxHeaderBytes = 256 << 10
)

// newServer returns a server with the limits that hold for all configurations.
func newServer(handler http.Handler) *http.Server {
	return &http.Server{
		Handler: handler, ReadHeaderTimeout: headerTimeout, IdleTimeout: idleTimeout, MaxHeaderBytes: maxHeaderBytes,
	}
}

// idleLimiter is a listener whose connections may be idle for a limited time.
type idleLimiter struct {
	net.Listener
	// limit returns the limit for a connection that becomes idle now; 0 is none.
	limit func() time.Duration
}

// Accept implements net.Listener.
func (l idleLimiter) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &limitedConn{Conn: c, limit: l.limit}, nil
}

// limitedConn is a connection of an idleLimiter.
type limitedConn struct {
	net.Conn
	limit func() time.Duration
}

// SetReadDeadline implements net.Conn. The server sets a deadline beyond headerTimeout only while a connection is idle.
func (c *limitedConn) SetReadDeadline(t time.Time) error {
	if now, limit := time.Now(), c.limit(); limit > 0 && t.Sub(now) > headerTimeout {
		t = now.Add(min(limit, t.Sub(now)))
	}
	return c.Conn.SetReadDeadline(t)
}

// CloseWrite closes the sending side, as the server does after an error.
func (c *limitedConn) CloseWrite() error {
	if w, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return w.CloseWrite()
	}
	return nil
}

// idleLimit returns how long clients may leave a connection idle, or 0 before a configuration is known.
func (g *Gateway) idleLimit() time.Duration {
	m := g.config.Load()
	if m == nil {
		return 0
	}
	return m.Limits().IdleTimeout
}

// serve returns a service that serves HTTP to other daemons on an address.
func serve(address string, server *http.Server) func(ctx context.Context) error {
	return serveWithLimit(address, server, func() time.Duration { return 0 })
}

// serveClients returns a service that serves HTTP to clients on an address.
func (g *Gateway) serveClients(address string, server *http.Server) func(ctx context.Context) error {
	return serveWithLimit(address, server, g.idleLimit)
}

// serveWithLimit returns a service that serves HTTP on an address and limits how long connections may be idle.
func serveWithLimit(address string, server *http.Server, limit func() time.Duration) func(ctx context.Context) error {
	return func(ctx context.Context) error {
		listener, err := net.Listen("tcp", address)
		if err != nil {
			return errors.Wrap(err, "listen")
		}
		l := idleLimiter{Listener: listener, limit: limit}
		stop := context.AfterFunc(ctx, func() { _ = server.Close() })
		defer stop()
		if err := server.Serve(l); !errors.Is(err, http.ErrServerClosed) {
			return errors.Wrapf(err, "serve on %s", address)
		}
		// A server that is shutting down still serves the requests that it has read.
		<-ctx.Done()
		return nil
	}
}

// serveOptional is like serve, for an address that may be empty.
func (g *Gateway) serveOptional(address string, handler http.Handler) func(ctx context.Context) error {
	if address != "" {
		return serve(address, newServer(handler))
	}
	return func(ctx context.Context) error {
		<-ctx.Done()
		return nil
	}
}

// metricsHandler serves the metrics of the relayer and the state of the daemon.
func (g *Gateway) metricsHandler() http.Handler {
	m := g.relayer.Meter
	m.RegisterGauge("requests-in-progress", func() float64 { return float64(g.activeRequests.Load()) })
	m.RegisterGauge("streams-in-progress", func() float64 { return float64(g.relayer.InProgress()) })
	m.RegisterGauge("config-version", func() float64 { return float64(g.configVersion()) })
	m.RegisterGauge("config-version-heard", func() float64 {
		version, _ := g.peerRevisions.newestConfig()
		return float64(version)
	})
	m.RegisterGauge("targets-lost", func() float64 { return float64(len(g.targets.Suspicions())) })
	m.RegisterGauge("cut-off", func() float64 { return boolToFloat(g.links.CutOff()) })
	m.RegisterGauge("tunnels", func() float64 { return float64(g.door.Active()) })
	m.RegisterGauge("targets-limited", func() float64 { return float64(len(g.relayer.Throttler.States())) })
	m.RegisterGauge("loads-summed", func() float64 { return float64(g.tallier.Summed()) })
	m.RegisterGauge("room-used", g.roomUsed)
	m.RegisterGauge("quarantines", func() float64 { return float64(g.relayer.Quarantiner.Quarantines()) })
	m.RegisterGauge("peers-alive", func() float64 { return float64(len(g.others())) })
	m.RegisterGauge("store-eras", func() float64 { return float64(g.eraCount.Load()) })
	m.RegisterGauge("store-failing", func() float64 { return boolToFloat(g.targetFollower.Failing()) })
	m.RegisterGauge("duty-held", func() float64 { return boolToFloat(g.holdsDuty()) })
	m.RegisterGauge("orders-pending", func() float64 { return float64(len(g.orderer.Pending())) })
	mux := http.NewServeMux()
	mux.Handle("GET /metrics", m)
	mux.Handle("GET "+previewer.Path, g.whereHandler())
	return mux
}

func boolToFloat(is bool) float64 { return float64(boolToInt(is)) }

// countRequests counts the requests in progress.
func (g *Gateway) countRequests(handler http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		g.activeRequests.Add(1)
		defer g.activeRequests.Add(-1)
		if g.leaving.Load() {
			w.Header().Set("Connection", "close")
		}
		handler.ServeHTTP(w, r)
	})
}
