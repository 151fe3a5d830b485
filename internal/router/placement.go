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
	// offeredMargin multiplies the measured load; no change may take the bound below the product.
	offeredMargin = 1.25
)

// placement plans the models that are assigned to this daemon.
type placement struct {
	router  *Router
	demands *demandTracker
	// orderPool holds connections to engines that carry only orders, as other traffic must not delay them.
	orderPool *engineer.Pool
	progress  *progress

	mu      sync.Mutex
	running map[string]*planningTask
}

// planningTask is the running planning of one model.
type planningTask struct {
	stop context.CancelFunc
	done chan struct{}
}

func (r *Router) buildLeases() (registrar.Service, error) {
	r.leases = leaser.New(r.local)
	r.leases.Store = r.storeLimiter.Store(storer.ClassLease)
	r.leases.Clock = r.Clock
	r.leases.Random = r.newRandom()
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
		router: r, demands: newDemandTracker(r.Clock), orderPool: engineer.NewPool(client), progress: newProgress(),
		running: map[string]*planningTask{},
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
	defer p.orderPool.Close()
	defer p.stopAll()
	var wg sync.WaitGroup
	defer wg.Wait()
	wg.Go(func() { p.reportDemand(ctx) })
	for {
		p.updateAssignments(ctx)
		if err := p.router.Clock.Sleep(ctx, placementInterval); err != nil {
			return err
		}
	}
}

// updateAssignments starts planning the models that are newly assigned to this daemon and stops planning the others.
func (p *placement) updateAssignments(ctx context.Context) {
	models := p.assignedModels()
	p.mu.Lock()
	defer p.mu.Unlock()
	for name, task := range p.running {
		if _, wanted := models[name]; !wanted || p.hasEnded(task) {
			task.stop()
			delete(p.running, name)
		}
	}
	if p.router.shutdown.phase() != "serving" {
		return
	}
	for name := range models {
		if p.running[name] == nil {
			p.running[name] = p.startPlanning(ctx, name)
		}
	}
}

func (p *placement) hasEnded(task *planningTask) bool {
	select {
	case <-task.done:
		return true
	default:
		return false
	}
}

// assignedModels returns the models that this daemon plans. A model whose document does not state the size of its layers
// cannot be placed.
func (p *placement) assignedModels() map[string]*wantedModel {
	assigned := map[string]*wantedModel{}
	for name, w := range p.router.modelsInForce() {
		if w.Model.LayerBytes == 0 {
			continue
		}
		if p.router.tracker.Owner(dutyPlacement, name).Name == p.router.local.Name {
			assigned[name] = w
		}
	}
	return assigned
}

func (p *placement) startPlanning(ctx context.Context, model string) *planningTask {
	ctx, stop := context.WithCancel(ctx)
	task := &planningTask{stop: stop, done: make(chan struct{})}
	assignedAt := p.router.Clock.Now()
	go func() {
		defer close(task.done)
		defer stop()
		p.planUnderLease(ctx, model, assignedAt)
	}()
	return task
}

// planUnderLease acquires the lease of a model, which was assigned to this daemon at a time, and plans the model until the lease
// is lost or ctx is done.
func (p *placement) planUnderLease(ctx context.Context, name string, assignedAt time.Time) {
	r := p.router
	lease, err := r.leases.Acquire(ctx, dutyPlacement+"/"+name)
	if err != nil {
		return
	}
	defer func() {
		releaseCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), handOverTimeout)
		defer cancel()
		_ = lease.Release(releaseCtx)
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
	r.Log.Info().Str("model", name).Uint64("fencing", lease.Fencing()).Msg("placement started")
	defer p.progress.forget(name)
	_ = p.newCommander(name, assignedAt, lease).Run(ctx)
}

func (p *placement) newCommander(name string, assignedAt time.Time, lease *leaser.Lease) *commander.Commander {
	r := p.router
	store := r.storeLimiter.Store(storer.ClassOther)
	modelPlanner := planner.New()
	return &commander.Commander{
		Clock:         r.Clock,
		Log:           r.Log,
		Store:         &store,
		Lease:         commander.Lease{Fencing: lease.Fencing, Remaining: lease.Remaining, Valid: lease.Valid},
		LeaseDuration: leaser.DefaultDuration,
		Model:         name,
		Targets:       func() []cataloger.Target { return p.assignedTargets(name) },
		Plan: func(_ context.Context, targets []cataloger.Target) (planner.Placement, error) {
			return p.computePlan(modelPlanner, name, assignedAt, targets), nil
		},
		SendOrder: func(ctx context.Context, address string, o *enginev1.OrderRequest) (*enginev1.OrderResponse, error) {
			return p.orderPool.Get(address).Order(ctx, o)
		},
		Describe: func(ctx context.Context, address string) (*enginev1.DescribeResponse, error) {
			return r.engines.Get(address).Describe(ctx, &enginev1.DescribeRequest{})
		},
		Observe: func(o commander.Outcome) { p.recordOutcome(name, o) },
	}
}

func (p *placement) recordOutcome(model string, o commander.Outcome) {
	p.progress.recordOutcome(model, o)
	event := p.router.Log.Info()
	if o.Err != nil {
		event = p.router.Log.Warn().Err(o.Err)
	}
	event.Str("model", model).Str("target", o.Change.Target).Str("change", string(o.Change.Kind)).
		Str("version", o.Change.Holding.Version).
		Uint32("first-layer", o.Change.Holding.FirstLayer).Uint32("end-layer", o.Change.Holding.EndLayer).
		Str("verdict", string(o.Verdict)).Bool("accepted", o.Accepted).Str("reason", o.Reason).Msg("order outcome recorded")
}

// assignedTargets returns the engines assigned to a model, with holdings or without; see assignedModel.
func (p *placement) assignedTargets(name string) []cataloger.Target {
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

// assignedModel returns the model that a target holds, or the one that a target without holdings is assigned to by rank.
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

func (p *placement) computePlan(modelPlanner *planner.Planner, name string, assignedAt time.Time, targets []cataloger.Target) planner.Placement {
	wanted, ok := p.assignedModels()[name]
	if !ok {
		return planner.Placement{}
	}
	model := wanted.Model
	linkSpeeds := p.router.selector.Speeds()
	offered := p.offeredLoad(name) * offeredMargin
	now := p.router.Clock.Now()
	loadUnknown := now.Sub(assignedAt) < p.loadKnownAfter()
	placed := modelPlanner.Plan(planner.State{
		Model: planner.Model{
			Name:            model.Name,
			Version:         model.Version,
			Layers:          model.Layers,
			LayerBytes:      model.LayerBytes,
			ActivationBytes: model.ActivationBytes,
			Adapters:        wanted.adapters(),
		},
		Targets:      targets,
		Bandwidth:    linkSpeeds.Bandwidth,
		LinksVersion: linkSpeeds.Version,
		OfferedLoad:  offered,
		LoadUnknown:  loadUnknown,
	})
	if loadUnknown {
		// The plan keeps all of the bound.
		offered = max(offered, placed.Bound)
	}
	p.progress.recordPlan(name, model.Version, offered, now, placed)
	p.router.meter.SetGauge("placement-bound-"+name, placed.Bound)
	return placed
}

func (p *placement) stopAll() {
	p.mu.Lock()
	running := p.running
	p.running = map[string]*planningTask{}
	p.mu.Unlock()
	for _, task := range running {
		task.stop()
	}
	for _, task := range running {
		<-task.done
	}
}

// releasePlacement stops all planning and releases the leases, which other daemons wait for.
func (r *Router) releasePlacement(context.Context) error {
	r.placement.stopAll()
	return nil
}
