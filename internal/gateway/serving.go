package gateway

import (
	"context"
	"net"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/rattantray/rattantray/internal/matcher"
	"github.com/rattantray/rattantray/internal/previewer"
	"github.com/rattantray/rattantray/internal/shedder"
)

const (
	// headerTimeout bounds reading the header of a request; it is over what any configuration asks for.
	headerTimeout = 20 * time.Second
	// idleTimeout is how long a connection without requests is kept before a configuration is known, and between daemons. It is
	// longer than headerTimeout, by which idle connections are told from others.
	idleTimeout = 5 * time.Minute
	// maxHeaderBytes is over what any configuration allows; the handler checks the limit in force.
	maxHeaderBytes = 256 << 10
	// maxPeerHeadBytes is over what peers send.
	maxPeerHeadBytes = 16 << 10
)

// newServer returns a server with the limits that hold for all configurations.
func newServer(handler http.Handler) *http.Server {
	return &http.Server{
		Handler: handleLimited(handler), ReadHeaderTimeout: headerTimeout, IdleTimeout: idleTimeout, MaxHeaderBytes: maxHeaderBytes,
		ConnContext: withConn, ConnState: trackState,
	}
}

// idleLimit returns how long clients may leave a connection idle, or 0 before a configuration is known.
func (g *Gateway) idleLimit() time.Duration { return g.configLimits().IdleTimeout }

// configLimits returns the limits of the configuration in force, or none before a configuration is known.
func (g *Gateway) configLimits() matcher.Limits {
	m := g.config.Load()
	if m == nil {
		return matcher.Limits{}
	}
	return m.Limits()
}

// Shares of the descriptors for sockets that connections of each kind may take. The rest is for targets, tunnels and the store.
const (
	clientShare  = 0.4
	resolveShare = 0.08
	readyShare   = 0.02
	peerShare    = 0.06
	controlShare = 0.04
	// minConnections is the least bound of a kind.
	minConnections = 8
	// fileDescriptors are the descriptors that sockets cannot use.
	fileDescriptors = 200
)

// newLimits returns the limits of a listener whose connections may take a share of the descriptors. Listeners for peers limit only
// these and the memory of heads.
func (g *Gateway) newLimits(share float64, forPeers bool) clientLimits {
	limits := clientLimits{
		idle: g.idleLimit, head: func() time.Duration { return g.configLimits().HeaderTimeout },
		headBytes:   func() int64 { return g.configLimits().MaxHeaderBytes },
		connections: &shedder.Connections{OnShed: g.recordShedConnection}, budget: &g.bodies,
		onHeadTooLong: g.recordShedConnection,
	}
	if sockets := g.Settings.Descriptors - fileDescriptors; g.Settings.Descriptors > 0 {
		limits.connections.Limit = max(int(share*float64(sockets)), minConnections)
	}
	if forPeers {
		limits.idle, limits.head = func() time.Duration { return 0 }, func() time.Duration { return 0 }
		limits.headBytes = func() int64 { return maxPeerHeadBytes }
	}
	g.connections = append(g.connections, limits.connections)
	return limits
}

// recordShedConnection counts a connection of a client that is closed to keep a limit, and logs the count at intervals.
func (g *Gateway) recordShedConnection() {
	g.shedConnections.Add(1)
	g.logShed()
}

// recordShedBody counts a body that is given up as the memory for bodies is short, and logs the count at intervals.
func (g *Gateway) recordShedBody(int64) {
	g.shedBodies.Add(1)
	g.logShed()
}

// shedLogInterval is the least time between two log lines on what clients lost to the limits.
const shedLogInterval = time.Second

func (g *Gateway) logShed() {
	now, last := g.Clock.Now().UnixNano(), g.shedLogged.Load()
	if now-last < int64(shedLogInterval) || !g.shedLogged.CompareAndSwap(last, now) {
		return
	}
	g.Log.Warn().Int64("bodies", g.shedBodies.Load()).Int64("connections", g.shedConnections.Load()).Msg("clients are over the limits")
}

// openConnections returns the number of open connections of clients and peers.
func (g *Gateway) openConnections() int {
	n := 0
	for _, c := range g.connections {
		n += c.Open()
	}
	return n
}

// serve returns a service that serves HTTP on an address to clients or peers with limits.
func serve(address string, server *http.Server, limits clientLimits) func(ctx context.Context) error {
	return func(ctx context.Context) error {
		listener, err := net.Listen("tcp", address)
		if err != nil {
			return errors.Wrap(err, "listen")
		}
		l := limitedListener{Listener: listener, limits: limits}
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
func serveOptional(address string, server *http.Server, limits clientLimits) func(ctx context.Context) error {
	if address != "" {
		return serve(address, server, limits)
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
	m.RegisterGauge("config-age", func() float64 { return g.copyAge(g.configUpstream) })
	m.RegisterGauge("targets-age", func() float64 { return g.copyAge(g.targetUpstream) })
	m.RegisterGauge("targets-lost", func() float64 { return float64(len(g.targets.Suspicions())) })
	m.RegisterGauge("cut-off", func() float64 { return boolToFloat(g.links.CutOff()) })
	m.RegisterGauge("tunnels", func() float64 { return float64(g.door.Active()) })
	m.RegisterGauge("targets-limited", func() float64 { return float64(len(g.relayer.Throttler.States())) })
	m.RegisterGauge("loads-summed", func() float64 { return float64(g.tallier.Summed()) })
	m.RegisterGauge("room-used", g.roomUsed)
	m.RegisterGauge("targets-paced", func() float64 { return float64(g.relayer.Pacer.Paced()) })
	m.RegisterGauge("quarantines", func() float64 { return float64(g.relayer.Quarantiner.Quarantines()) })
	m.RegisterGauge("peers-alive", func() float64 { return float64(len(g.others())) })
	m.RegisterGauge("store-eras", func() float64 { return float64(g.eraCount.Load()) })
	m.RegisterGauge("store-failing", func() float64 { return boolToFloat(g.targetFollower.Failing()) })
	m.RegisterGauge("duty-held", func() float64 { return boolToFloat(g.holdsDuty()) })
	m.RegisterGauge("orders-pending", func() float64 { return float64(len(g.orderer.Pending())) })
	m.RegisterGauge("body-bytes", func() float64 { return float64(g.bodies.Used()) })
	m.RegisterGauge("connections-open", func() float64 { return float64(g.openConnections()) })
	m.RegisterGauge("bodies-shed", func() float64 { return float64(g.shedBodies.Load()) })
	m.RegisterGauge("connections-shed", func() float64 { return float64(g.shedConnections.Load()) })
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
