package router

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/rattantray/rattantray/internal/cataloger"
	"github.com/rattantray/rattantray/internal/commander"
	"github.com/rattantray/rattantray/internal/engineer"
	"github.com/rattantray/rattantray/internal/leaser"
	"github.com/rattantray/rattantray/internal/planner"
	"github.com/rattantray/rattantray/internal/registrar"
	"github.com/rattantray/rattantray/internal/storer"
	"github.com/rattantray/rattantray/internal/tracker"
	enginev1 "github.com/rattantray/rattantray/pkg/api/rattantray/engine/v1"
)

const (
	dutyPlacement     = "placement"
	placementInterval = time.Second
	// offeredMargin is added to the measured load, below which no change may take the bound.
	offeredMargin = 1.25
)

// placement plans the models that fall to this daemon.
type placement struct {
	router  *Router
	demands *demands
	// orders are connections to engines for nothing but orders, which must not arrive late.
	orders   *engineer.Pool
	progress *progress

	mu      sync.Mutex
	running map[string]*plan
}

// plan is the planning of one model on this daemon.
type plan struct {
	stop context.CancelFunc
	done chan struct{}
}

func (r *Router) buildLeases() (registrar.Service, error) {
	r.leases = leaser.New(r.local)
	r.leases.Store = r.limiter.Store(storer.ClassLease)
	r.leases.Clock = r.Clock
	r.leases.Random = r.random()
	r.leases.Log = r.Log
	r.leases.Metrics = r.meter.Registry
	return registrar.Service{
		Name:  ServiceLeases,
		Needs: []string{ServiceStore},
		Value: r.leases,
		Run:   r.leases.Run,
	}, nil
}

func (r *Router) buildPlacement() (registrar.Service, error) {
	client := engineer.HTTPClientOver(commander.Dial(r.Network.Dial).WithResendLimit(commander.DefaultOrderTimeout))
	client.Transport = commander.DeadlineTransport{Clock: r.Clock, Base: client.Transport}
	r.placement = &placement{
		router: r, demands: newDemands(r.Clock), orders: engineer.NewPool(client), progress: newProgress(),
		running: map[string]*plan{},
	}
	r.peer.Handle(methodDemand, r.placement.handleDemand)
	r.peer.Handle(methodPlacementStatus, r.placement.handlePlacementStatus)
	return registrar.Service{
		Name:  ServicePlacement,
		Needs: []string{ServiceLeases, ServiceMembers, ServiceConfig, ServiceSelection},
		Value: r.placement,
		Run:   r.placement.run,
	}, nil
}

func (p *placement) run(ctx context.Context) error {
	defer p.orders.Close()
	defer p.stopAll()
	var wg sync.WaitGroup
	defer wg.Wait()
	wg.Go(func() { p.reportDemand(ctx) })
	for {
		p.assign(ctx)
		if err := p.router.Clock.Sleep(ctx, placementInterval); err != nil {
			return err
		}
	}
}

// assign starts the models that fall to this daemon now and stops those that do not.
func (p *placement) assign(ctx context.Context) {
	models := p.models()
	p.mu.Lock()
	defer p.mu.Unlock()
	for name, running := range p.running {
		if _, wanted := models[name]; !wanted || p.ended(running) {
			running.stop()
			delete(p.running, name)
		}
	}
	if p.router.shutdown.phase() != "serving" {
		return
	}
	for name := range models {
		if p.running[name] == nil {
			p.running[name] = p.start(ctx, name)
		}
	}
}

func (p *placement) ended(running *plan) bool {
	select {
	case <-running.done:
		return true
	default:
		return false
	}
}

// models returns the models that this daemon has to plan; one whose layers have no stated size cannot be placed.
func (p *placement) models() map[string]*wantedModel {
	mine := map[string]*wantedModel{}
	for name, w := range p.router.modelsInForce() {
		if w.Model.LayerBytes == 0 {
			continue
		}
		if p.router.tracker.Owner(dutyPlacement, name).Name == p.router.local.Name {
			mine[name] = w
		}
	}
	return mine
}

func (p *placement) start(ctx context.Context, model string) *plan {
	ctx, stop := context.WithCancel(ctx)
	running := &plan{stop: stop, done: make(chan struct{})}
	go func() {
		defer close(running.done)
		defer stop()
		p.hold(ctx, model)
	}()
	return running
}

// hold plans a model while its lease is held.
func (p *placement) hold(ctx context.Context, name string) {
	r := p.router
	lease, err := r.leases.Acquire(ctx, dutyPlacement+"/"+name)
	if err != nil {
		return
	}
	defer func() {
		release, cancel := context.WithTimeout(context.WithoutCancel(ctx), handOverTimeout)
		defer cancel()
		_ = lease.Release(release)
	}()
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	go func() {
		select {
		case <-lease.Lost():
			cancel()
		case <-ctx.Done():
		}
	}()
	r.Log.Info().Str("model", name).Uint64("fencing", lease.Fencing()).Msg("placement begun")
	defer p.progress.ended(name)
	_ = p.commander(name, lease).Run(ctx)
}

func (p *placement) commander(name string, lease *leaser.Lease) *commander.Commander {
	r := p.router
	store := r.limiter.Store(storer.ClassOther)
	plans := planner.New()
	return &commander.Commander{
		Clock:         r.Clock,
		Log:           r.Log,
		Store:         &store,
		Lease:         commander.Lease{Fencing: lease.Fencing, Remaining: lease.Remaining, Valid: lease.Valid},
		LeaseDuration: leaser.DefaultDuration,
		Model:         name,
		Targets:       func() []cataloger.Target { return p.targets(name) },
		Plan: func(_ context.Context, targets []cataloger.Target) (planner.Placement, error) {
			return p.plan(plans, name, targets), nil
		},
		SendOrder: func(ctx context.Context, address string, o *enginev1.OrderRequest) (*enginev1.OrderResponse, error) {
			return p.orders.Get(address).Order(ctx, o)
		},
		Describe: func(ctx context.Context, address string) (*enginev1.DescribeResponse, error) {
			return r.engines.Get(address).Describe(ctx, &enginev1.DescribeRequest{})
		},
		Observe: func(o commander.Outcome) { p.observe(name, o) },
	}
}

func (p *placement) observe(model string, o commander.Outcome) {
	p.progress.ordered(model, o)
	event := p.router.Log.Info()
	if o.Err != nil {
		event = p.router.Log.Warn().Err(o.Err)
	}
	event.Str("model", model).Str("target", o.Change.Target).Str("change", string(o.Change.Kind)).
		Str("version", o.Change.Holding.Version).
		Uint32("first-layer", o.Change.Holding.FirstLayer).Uint32("end-layer", o.Change.Holding.EndLayer).
		Str("verdict", string(o.Verdict)).Bool("accepted", o.Accepted).Str("reason", o.Reason).Msg("order")
}

// targets returns the engines assigned to a model: those that hold some of it, and those without holdings that fall to it.
func (p *placement) targets(name string) []cataloger.Target {
	var names []string
	for model, w := range p.router.modelsInForce() {
		if w.Model.LayerBytes > 0 {
			names = append(names, model)
		}
	}
	slices.Sort(names)
	var found []cataloger.Target
	for _, t := range p.router.tracker.Fleet().Targets {
		if t.Type == cataloger.TypeEngine && assignedModel(t, names) == name {
			found = append(found, t)
		}
	}
	return found
}

// assignedModel returns the model that a target works for.
func assignedModel(t cataloger.Target, models []string) string {
	if len(t.Holdings) > 0 {
		return t.Holdings[0].Model
	}
	if len(models) == 0 {
		return ""
	}
	candidates := make([]tracker.Candidate, len(models))
	for i, m := range models {
		candidates[i] = tracker.Candidate{Name: m}
	}
	return models[tracker.Rank(candidates, t.Name, 1)[0]]
}

func (p *placement) plan(plans *planner.Planner, name string, targets []cataloger.Target) planner.Placement {
	wanted, ok := p.models()[name]
	if !ok {
		return planner.Placement{}
	}
	model := wanted.Model
	speeds := p.router.selector.Speeds()
	offered := p.offered(name) * offeredMargin
	placed := plans.Plan(planner.State{
		Model: planner.Model{
			Name:            model.Name,
			Version:         model.Version,
			Layers:          model.Layers,
			LayerBytes:      model.LayerBytes,
			ActivationBytes: model.ActivationBytes,
			Adapters:        wanted.adapters(),
		},
		Targets:      targets,
		Bandwidth:    speeds.Bandwidth,
		LinksVersion: speeds.Version,
		Offered:      offered,
	})
	p.progress.planned(name, model.Version, offered, p.router.Clock.Now(), placed)
	p.router.meter.SetGauge("placement-bound-"+name, placed.Bound)
	return placed
}

func (p *placement) stopAll() {
	p.mu.Lock()
	running := p.running
	p.running = map[string]*plan{}
	p.mu.Unlock()
	for _, x := range running {
		x.stop()
	}
	for _, x := range running {
		<-x.done
	}
}

// release gives up what other daemons wait for.
func (r *Router) release(context.Context) error {
	r.placement.stopAll()
	return nil
}
