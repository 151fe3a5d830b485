package router

import (
	"context"
	"time"

	"github.com/rattantray/rattantray/internal/cataloger"
	"github.com/rattantray/rattantray/internal/dispatcher"
	"github.com/rattantray/rattantray/internal/documenter"
	"github.com/rattantray/rattantray/internal/engineer"
	"github.com/rattantray/rattantray/internal/registrar"
	"github.com/rattantray/rattantray/internal/selector"
	"github.com/rattantray/rattantray/internal/subscriber"
	enginev1 "github.com/rattantray/rattantray/pkg/api/rattantray/engine/v1"
)

const (
	reweighInterval = time.Second
	// slowStart is how long a target that joins or returns takes to get its whole share.
	slowStart = 2 * time.Second
	// reweighPause is the pause after computing weights where something changed, in multiples of the time that it took.
	reweighPause = 100
	// calmPause is the pause where nothing but the speeds of links may have changed.
	calmPause      = 400
	settleInterval = 100 * time.Millisecond
)

func (r *Router) buildSelection() (registrar.Service, error) {
	r.selector = selector.New(r.Clock, r.random())
	r.selector.SlowStart = slowStart
	r.dispatch = dispatcher.New(r.Clock, r.random(), r.Log, r.meter.Registry, r.selector, r.engines)
	r.dispatch.Isolated = func() bool { return isolated(r.tracker.Fleet(), r.local) }
	return registrar.Service{
		Name:  ServiceSelection,
		Needs: []string{ServiceMembers, ServiceConfig},
		Value: r.selector,
		Run:   r.runSelection,
		Stop:  func(context.Context) error { return r.stopSelection() },
	}, nil
}

// buildCacheEvents follows the prefix caches of engines in this data centre.
func (r *Router) buildCacheEvents() (registrar.Service, error) {
	s := &subscriber.Subscriber{
		Self:    r.local.Name,
		Streams: subscriber.DefaultStreams,
		Engines: r.nearEngines,
		Busy:    func(target string) bool { return r.selector.Outstanding(target) > 0 },
		Open: func(ctx context.Context, address string) (*engineer.Events, error) {
			return r.engines.Get(address).CacheEvents(ctx, &enginev1.CacheEventsRequest{})
		},
		Observe: r.selector.ObserveCache,
		Doubt:   r.selector.ObserveCacheGap,
		Clock:   r.Clock,
		Random:  r.random(),
		Log:     r.Log,
		Metrics: r.meter.Registry,
	}
	return registrar.Service{
		Name:  ServiceCacheEvents,
		Needs: []string{ServiceMembers, ServiceSelection},
		Value: s,
		Run:   s.Run,
	}, nil
}

// nearEngines returns the live engines of this data centre that hold layers.
func (r *Router) nearEngines() []cataloger.Target {
	var near []cataloger.Target
	for _, t := range r.tracker.Fleet().Targets {
		if t.Type == cataloger.TypeEngine && t.State == cataloger.StateLive && t.DataCentre == r.local.DataCentre && len(t.Holdings) > 0 {
			near = append(near, t)
		}
	}
	return near
}

func (r *Router) stopSelection() error {
	r.dispatch.Close()
	r.engines.Close()
	r.plain.Close()
	return nil
}

// runSelection takes each change of the fleet and of the documents into the selector and the admitter.
//
// The states of targets are taken on at once. Weights take a second and more to compute on a large fleet, so that
// they are renewed at a pace that bounds their share of a core.
func (r *Router) runSelection(ctx context.Context) error {
	fleetChanged, stop := r.tracker.Subscribe()
	defer stop()
	reweigh := time.NewTicker(reweighInterval)
	defer reweigh.Stop()
	r.configureAdmission()
	r.indexInstances(r.tracker.Fleet())
	changed := true
	next, calm := time.Time{}, time.Time{}
	for {
		begin := r.Clock.Now()
		if changed && !begin.Before(next) || !begin.Before(calm) {
			r.updateSelection()
			changed = false
			end := r.Clock.Now()
			next = end.Add(max(settleInterval, reweighPause*end.Sub(begin)))
			calm = end.Add(max(settleInterval, calmPause*end.Sub(begin)))
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-reweigh.C:
		case <-fleetChanged:
			changed = true
			fleet := r.tracker.Fleet()
			r.selector.Refresh(doubtCutOff(fleet, r.local))
			r.indexInstances(fleet)
		case <-r.changed.Values():
			changed = true
			r.configureAdmission()
		}
		// Changes come in bursts; one pass takes the whole burst in.
		if err := r.Clock.Sleep(ctx, settleInterval); err != nil {
			return err
		}
	}
}

// updateSelection computes the weights, and what else follows from documents and fleet together.
func (r *Router) updateSelection() {
	documents := r.documentsInForce()
	fleet := r.tracker.Fleet()
	held := heldVersions(fleet)
	models := modelVersions(documents, held)
	r.selector.Update(doubtCutOff(fleet, r.local), models)
	r.meterBounds(models)
	r.held.Store(&held)
	r.setCapacities(documents, fleet)
}

func (r *Router) documentsInForce() []*documenter.Document {
	var documents []*documenter.Document
	for _, name := range r.config.Services() {
		if d, _, ok := r.config.Lookup(name); ok {
			documents = append(documents, d)
		}
	}
	return documents
}

func modelOf(d *documenter.Document) selector.Model {
	return selector.Model{
		Name:            d.Model.Name,
		Version:         d.Model.Version,
		Adapter:         d.Model.Adapter,
		Layers:          d.Model.Layers,
		ActivationBytes: d.Model.ActivationBytes,
	}
}
