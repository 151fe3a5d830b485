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
	weightInterval = time.Second
	// slowStart is the time in which a target that joins or returns reaches its full share.
	slowStart = 2 * time.Second
	// weightPauseFactor is the pause after computing weights if something changed, in multiples of the time that it took.
	weightPauseFactor = 100
	// stablePauseFactor is the same if nothing but the speeds of links may have changed.
	stablePauseFactor = 400
	batchInterval     = 100 * time.Millisecond
)

func (r *Router) buildSelection() (registrar.Service, error) {
	r.selector = selector.New(r.Clock, r.newRandom())
	r.selector.SlowStart = slowStart
	r.dispatcher = dispatcher.New(r.Clock, r.newRandom(), r.Log, r.meter.Registry, r.selector, r.engines)
	r.dispatcher.Isolated = func() bool { return isolated(r.tracker.Fleet(), r.local) }
	return registrar.Service{
		Name:  ServiceSelection,
		Needs: []string{ServiceMembers, ServiceConfig},
		Value: r.selector,
		Run:   r.runSelection,
		Stop:  func(context.Context) error { return r.stopSelection() },
	}, nil
}

// buildCacheEvents builds the service that follows the prefix caches of the engines in this data centre.
func (r *Router) buildCacheEvents() (registrar.Service, error) {
	s := &subscriber.Subscriber{
		Self:       r.local.Name,
		MaxStreams: subscriber.DefaultStreams,
		Engines:    r.localEngines,
		Busy:       func(target string) bool { return r.selector.Outstanding(target) > 0 },
		Open: func(ctx context.Context, address string) (*engineer.Events, error) {
			return r.engines.Get(address).CacheEvents(ctx, &enginev1.CacheEventsRequest{})
		},
		Observe:    r.selector.ObserveCache,
		ObserveGap: r.selector.ObserveCacheGap,
		Clock:      r.Clock,
		Random:     r.newRandom(),
		Log:        r.Log,
		Metrics:    r.meter.Registry,
	}
	return registrar.Service{
		Name:  ServiceCacheEvents,
		Needs: []string{ServiceMembers, ServiceSelection},
		Value: s,
		Run:   s.Run,
	}, nil
}

// localEngines returns the live engines of this data centre that hold layers.
func (r *Router) localEngines() []cataloger.Target {
	var engines []cataloger.Target
	for _, t := range r.tracker.Fleet().Targets {
		if t.Type == cataloger.TypeEngine && t.State == cataloger.StateLive && t.DataCentre == r.local.DataCentre && len(t.Holdings) > 0 {
			engines = append(engines, t)
		}
	}
	return engines
}

func (r *Router) stopSelection() error {
	r.dispatcher.Close()
	r.engines.Close()
	r.forwarder.Close()
	return nil
}

// runSelection applies changes of the fleet and of the documents to the selector and the capacities of admission.
//
// The states of targets are applied immediately. On a large fleet, the weights take a second or more to compute, so they
// are computed at intervals that bound their share of a core.
func (r *Router) runSelection(ctx context.Context) error {
	fleetChanged, stop := r.tracker.Subscribe()
	defer stop()
	ticker := time.NewTicker(weightInterval)
	defer ticker.Stop()
	r.indexInstances(r.tracker.Fleet())
	changed := true
	nextIfChanged, nextIfStable := time.Time{}, time.Time{}
	for {
		start := r.Clock.Now()
		if changed && !start.Before(nextIfChanged) || !start.Before(nextIfStable) {
			r.updateSelection()
			changed = false
			end := r.Clock.Now()
			nextIfChanged = end.Add(max(batchInterval, weightPauseFactor*end.Sub(start)))
			nextIfStable = end.Add(max(batchInterval, stablePauseFactor*end.Sub(start)))
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-ticker.C:
		case <-fleetChanged:
			changed = true
			fleet := r.tracker.Fleet()
			r.selector.Refresh(suspectCutOff(fleet, r.local))
			r.indexInstances(fleet)
		case <-r.configChanged.Values():
			changed = true
		}
		// Changes come in bursts; one pass handles the whole burst.
		if err := r.Clock.Sleep(ctx, batchInterval); err != nil {
			return err
		}
	}
}

// updateSelection computes the weights and everything else that depends on both the documents and the fleet.
func (r *Router) updateSelection() {
	documents := r.config.Documents()
	fleet := r.tracker.Fleet()
	held := heldVersions(fleet)
	models := modelVersions(documents, held)
	r.selector.Update(suspectCutOff(fleet, r.local), models)
	r.setBoundGauges(models)
	r.engineVersions.Store(&held)
	r.setCapacities(documents, fleet)
}

func selectorModel(d *documenter.Document) selector.Model {
	return selector.Model{
		Name:            d.Model.Name,
		Version:         d.Model.Version,
		Adapter:         d.Model.Adapter,
		Layers:          d.Model.Layers,
		ActivationBytes: d.Model.ActivationBytes,
	}
}
