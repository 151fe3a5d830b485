package gateway

import (
	"context"
	"net"
	"net/http"
	"slices"
	"time"

	"github.com/cockroachdb/errors"

	peerv1 "github.com/rattantray/rattantray/internal/api/rattantray/peer/v1"
	"github.com/rattantray/rattantray/internal/relayer"
)

const (
	// headerTimeout bounds the reading of a request's header, over what any configuration asks for.
	headerTimeout = 20 * time.Second
	// idleTimeout is how long a connection without requests is kept, over what any configuration asks for.
	idleTimeout = 5 * time.Minute
	// maxHeaderBytes is over what any configuration allows; the handler checks the limit in force.
	maxHeaderBytes = 256 << 10
)

// newServer returns a server with the bounds that hold for all configurations.
func newServer(handler http.Handler) *http.Server {
	return &http.Server{
		Handler: handler, ReadHeaderTimeout: headerTimeout, IdleTimeout: idleTimeout, MaxHeaderBytes: maxHeaderBytes,
	}
}

// serve returns a service that serves HTTP on an address.
func serve(address string, server *http.Server) func(ctx context.Context) error {
	return func(ctx context.Context) error {
		l, err := net.Listen("tcp", address)
		if err != nil {
			return errors.Wrap(err, "listen")
		}
		stop := context.AfterFunc(ctx, func() { _ = server.Close() })
		defer stop()
		if err := server.Serve(l); !errors.Is(err, http.ErrServerClosed) {
			return errors.Wrapf(err, "serve on %s", address)
		}
		// A server that shuts down still serves the requests that it has read.
		<-ctx.Done()
		return nil
	}
}

// serveOptional is serve for an address that may not be set.
func (g *Gateway) serveOptional(address string, handler http.Handler) func(ctx context.Context) error {
	if address != "" {
		return serve(address, newServer(handler))
	}
	return func(ctx context.Context) error {
		<-ctx.Done()
		return nil
	}
}

// metricsHandler serves the metrics of the relayer and what the daemon believes.
func (g *Gateway) metricsHandler() http.Handler {
	m := g.relayer.Meter
	m.Gauge("requests-in-progress", func() float64 { return float64(g.active.Load()) })
	m.Gauge("streams-in-progress", func() float64 { return float64(g.relayer.InProgress()) })
	m.Gauge("config-version", func() float64 {
		if c := g.config.Load(); c != nil {
			return float64(c.Version())
		}
		return 0
	})
	m.Gauge("targets-lost", func() float64 { return float64(len(g.targets.Doubts())) })
	m.Gauge("peers-alive", func() float64 { return float64(len(g.gossiper.Alive())) })
	m.Gauge("store-failing", func() float64 { return oneIf(g.listed.Failing()) })
	m.Gauge("duty-held", func() float64 { return oneIf(g.holdsDuty()) })
	m.Gauge("orders-pending", func() float64 { return float64(len(g.orderer.Pending())) })
	mux := http.NewServeMux()
	mux.Handle("GET /metrics", m)
	return mux
}

func oneIf(is bool) float64 {
	if is {
		return 1
	}
	return 0
}

// count counts the requests in progress.
func (g *Gateway) count(handler http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		g.active.Add(1)
		defer g.active.Add(-1)
		if g.leaving.Load() {
			w.Header().Set("Connection", "close")
		}
		handler.ServeHTTP(w, r)
	})
}

// drain tells everybody that this daemon leaves, goes on with what comes for a while, and returns when the last request is
// answered.
func (g *Gateway) drain(ctx context.Context) error {
	now := g.Clock.Now()
	ends := now.Add(g.Settings.Grace - stopMargin)
	ctx, cancel := context.WithTimeout(ctx, g.Settings.Grace-stopMargin)
	defer cancel()
	g.leaving.Store(true)
	g.departures.See(g.Settings.Name, g.epoch, true, now)
	g.gossiper.Send()
	g.Log.Info().Int64("requests", g.active.Load()).Msg("gateway leaves")
	_ = g.Clock.Sleep(ctx, lingerTime)
	g.standIn(ctx, ends)
	err := g.finish(ctx)
	g.Log.Info().Int64("requests", g.active.Load()).Err(err).Msg("gateway has drained")
	return err
}

// finish returns when the last request is answered. While no daemon takes requests, connections on which none has come are not
// waited for: the sooner this one is back, the better.
func (g *Gateway) finish(ctx context.Context) error {
	done := make(chan error, 1)
	go func() { done <- g.client.Shutdown(ctx) }()
	quiet := time.Duration(0)
	for {
		select {
		case err := <-done:
			return err
		default:
		}
		if g.active.Load() > 0 || g.othersReady() {
			quiet = 0
		}
		if quiet >= quietTime {
			return g.client.Close()
		}
		if g.Clock.Sleep(ctx, standInPause) != nil {
			return <-done
		}
		quiet += standInPause
	}
}

// standIn goes on while there is no other daemon to take requests: with those that are sure to end before this one does, and
// the others are told when one will be back.
func (g *Gateway) standIn(ctx context.Context, ends time.Time) {
	for !g.relieved() && g.Clock.Now().Before(ends.Add(-standInMargin)) {
		back := g.departures.Back(g.Clock.Now(), g.Settings.Grace+restartTime)
		if g.relayer.Close(relayer.Closing{Ends: ends, Back: back}) {
			g.Log.Info().Time("back", back).Msg("gateway stands in")
		}
		if g.Clock.Sleep(ctx, standInPause) != nil {
			return
		}
	}
}

// relieved tells whether another daemon takes requests, or began to leave later than this one.
func (g *Gateway) relieved() bool {
	return g.othersReady() || slices.ContainsFunc(g.gossiper.Alive(), func(h *peerv1.GatewayHeartbeat) bool {
		return h.GetLeaving() && g.departures.Later(h.GetName(), g.Settings.Name)
	})
}

// othersReady tells whether another daemon takes requests.
func (g *Gateway) othersReady() bool {
	return slices.ContainsFunc(g.gossiper.Alive(), func(h *peerv1.GatewayHeartbeat) bool { return h.GetReady() && !h.GetLeaving() })
}
