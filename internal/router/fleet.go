package router

import (
	"context"
	"net"
	"net/http"
	"time"

	"github.com/rattantray/rattantray/internal/engineer"
	"github.com/rattantray/rattantray/internal/keyer"
	"github.com/rattantray/rattantray/internal/linker"
	"github.com/rattantray/rattantray/internal/prober"
	"github.com/rattantray/rattantray/internal/registrar"
	"github.com/rattantray/rattantray/internal/storer"
	"github.com/rattantray/rattantray/internal/tracker"
	enginev1 "github.com/rattantray/rattantray/pkg/api/rattantray/engine/v1"
	"github.com/rattantray/rattantray/pkg/caller"
)

const (
	budgetInterval = 10 * time.Second
	// fullLoad is the number of requests in progress that counts as a load of 1.
	fullLoad = 1000
)

func (r *Router) buildKeys() (registrar.Service, error) {
	r.keys = &keyer.Keyer{Settings: r.Settings.keyerSettings(), Poll: keyer.DefaultPoll, Clock: r.Clock, Log: r.Log}
	if err := r.keys.Load(); err != nil {
		return registrar.Service{}, err
	}
	return registrar.Service{Name: ServiceKeys, Value: r.keys, Run: r.keys.Run}, nil
}

func (r *Router) buildStore() (registrar.Service, error) {
	client, err := r.platformClient()
	if err != nil {
		return registrar.Service{}, err
	}
	scheme := "http://"
	if r.Settings.PlatformCA != "" {
		scheme = "https://"
	}
	budget := storer.DefaultBudget()
	budget.Clock = r.Clock
	budget.Random = r.newRandom()
	budget.Metrics = r.meter.Registry
	budget.Reads = r.Settings.StoreReads
	budget.Writes = r.Settings.StoreWrites
	r.storeLimiter = storer.NewLimiter(storer.NewClient(client, scheme+r.Settings.Platform), budget)
	return registrar.Service{
		Name:  ServiceStore,
		Value: r.storeLimiter,
		Run:   r.runStoreBudget,
		Stop:  func(context.Context) error { client.CloseIdleConnections(); return nil },
	}, nil
}

func (r *Router) platformClient() (*http.Client, error) {
	return caller.HTTPClientOver(r.Network.Dial, caller.TLSFiles{CA: r.Settings.PlatformCA})
}

// runStoreBudget divides the rates of the object API among the live members.
func (r *Router) runStoreBudget(ctx context.Context) error {
	for r.Clock.Sleep(ctx, budgetInterval) == nil {
		members := float64(max(1, len(tracker.Live(r.tracker.Fleet().Members))))
		r.storeLimiter.SetRates(r.Settings.StoreReads/members, r.Settings.StoreWrites/members)
	}
	return ctx.Err()
}

func (r *Router) buildLink() (registrar.Service, error) {
	security, err := r.keys.PeerSecurity()
	if err != nil {
		return registrar.Service{}, err
	}
	r.peer, err = linker.NewPeer(linker.Config{
		Name:        r.local.Name,
		Incarnation: r.local.Incarnation,
		DataCentre:  r.local.DataCentre,
		Security:    security,
		Dial: func(ctx context.Context, address string) (net.Conn, error) {
			return r.Network.Dial(ctx, "tcp", address)
		},
		Clock:  r.Clock,
		Random: r.newRandom(),
		Log:    r.Log,
	})
	if err != nil {
		return registrar.Service{}, err
	}
	var listener net.Listener
	return registrar.Service{
		Name:  ServiceLink,
		Value: r.peer,
		Start: func(context.Context) error {
			var err error
			listener, err = r.listen("peer-listen", r.Settings.PeerListen)
			return err
		},
		Run:  func(ctx context.Context) error { return r.peer.Serve(ctx, listener) },
		Stop: func(context.Context) error { return r.peer.Close() },
	}, nil
}

func (r *Router) buildMembers() (registrar.Service, error) {
	r.tracker = &tracker.Tracker{
		Local:   r.local,
		Seeds:   r.Settings.Peers,
		Link:    r.peer.Link(),
		ListVMs: r.storeLimiter.Store(storer.ClassOther).ListVMs,
		Options: tracker.DefaultOptions(),
		Clock:   r.Clock,
		Random:  r.newRandom(),
		Log:     r.Log,
		Load:    func() float64 { return float64(r.InProgress()) / fullLoad },
	}
	r.peer.Handle(tracker.Method, r.tracker.Handle)
	return registrar.Service{
		Name:  ServiceMembers,
		Needs: []string{ServiceStore, ServiceLink},
		Value: r.tracker,
		Run:   r.tracker.Run,
	}, nil
}

// buildProbes builds the service that checks the health of the targets assigned to this daemon.
func (r *Router) buildProbes() (registrar.Service, error) {
	r.engines = engineer.NewPool(engineer.HTTPClientOver(r.Network.Dial))
	p := &prober.Prober{
		Self:  r.local.Name,
		Fleet: r.tracker.Fleet,
		Describe: func(ctx context.Context, address string) (*enginev1.DescribeResponse, error) {
			return r.engines.Get(address).Describe(ctx, &enginev1.DescribeRequest{})
		},
		Load: func(ctx context.Context, address string) (*enginev1.LoadResponse, error) {
			return r.engines.Get(address).Load(ctx, &enginev1.LoadRequest{})
		},
		Check:       r.checkService,
		Report:      r.tracker.ReportTarget,
		ObserveLoad: r.observeLoad,
		Link:        r.peer.Link(),
		Options:     prober.DefaultOptions(),
		Clock:       r.Clock,
		Random:      r.newRandom(),
		Log:         r.Log,
	}
	for method, handler := range p.Handlers() {
		r.peer.Handle(method, handler)
	}
	return registrar.Service{
		Name:  ServiceProbes,
		Needs: []string{ServiceMembers},
		Value: p,
		Run:   p.Run,
	}, nil
}

// checkService returns an error if a plain service does not accept connections.
func (r *Router) checkService(ctx context.Context, address string) error {
	conn, err := r.Network.Dial(ctx, "tcp", address)
	if err != nil {
		return err
	}
	return conn.Close()
}

func (r *Router) observeLoad(name string, load *enginev1.LoadResponse) {
	r.selector.ObserveLoad(name, load)
}
