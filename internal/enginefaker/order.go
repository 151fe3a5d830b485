package enginefaker

import (
	"fmt"
	"slices"
	"strings"

	"github.com/rattantray/rattantray/internal/cataloger"
	v1 "github.com/rattantray/rattantray/pkg/api/rattantray/engine/v1"
)

const maxOrders = 10_000

// applyOrder executes an order, or returns its earlier answer. The weights of a load are ready after their pull.
func (e *Engine) applyOrder(req *v1.OrderRequest) *v1.OrderResponse {
	e.mu.Lock()
	defer e.mu.Unlock()
	if old := e.orders[req.OrderId]; old != nil && req.OrderId != "" {
		return old
	}
	reason := e.execute(req)
	res := &v1.OrderResponse{Accepted: reason == "", Reason: reason}
	if e.cfg.ChecksFencing {
		res.Fencing = e.fencing
	}
	if len(e.orders) >= maxOrders {
		clear(e.orders)
	}
	e.orders[req.OrderId] = res
	e.ledger.recordOrder(OrderRecord{
		OrderID: req.OrderId, Fencing: req.Fencing,
		Action: strings.ToLower(strings.TrimPrefix(req.Action.String(), "ACTION_")),
		Model:  req.Model, Version: req.Version, Adapter: req.Adapter,
		FirstLayer: req.FirstLayer, EndLayer: req.EndLayer, Role: req.Role,
		Accepted: res.Accepted, Reason: reason,
	})
	return res
}

// execute executes an order and returns the reason of a refusal, or "". The caller holds e.mu.
func (e *Engine) execute(req *v1.OrderRequest) string {
	if e.cfg.ChecksFencing {
		if req.Fencing < e.fencing {
			return fmt.Sprintf("fencing number %d is older than %d", req.Fencing, e.fencing)
		}
		e.fencing = req.Fencing
	}
	switch req.Action {
	case v1.Action_ACTION_LOAD:
		return e.loadWeights(req)
	case v1.Action_ACTION_UNLOAD:
		e.unload(req)
	case v1.Action_ACTION_CHANGE_ROLE:
		e.role = req.Role
	case v1.Action_ACTION_LEAVE:
		e.leaving = true
	default:
		return "unknown action"
	}
	return ""
}

func (e *Engine) loadWeights(req *v1.OrderRequest) string {
	if req.EndLayer <= req.FirstLayer {
		return "empty layer range"
	}
	h := cataloger.Holding{Model: req.Model, Version: req.Version, FirstLayer: req.FirstLayer, EndLayer: req.EndLayer}
	i := slices.IndexFunc(e.holdings, func(o cataloger.Holding) bool { return sameRange(o, h) })
	bytes := uint64(h.EndLayer-h.FirstLayer) * e.cfg.LayerBytes
	if i < 0 {
		if e.cfg.MemoryBytes > 0 && e.heldBytes()+bytes > e.cfg.MemoryBytes {
			return "not enough memory"
		}
		e.holdings = append(slices.Clone(e.holdings), h)
		i = len(e.holdings) - 1
	}
	if req.Adapter != "" && !slices.Contains(e.holdings[i].Adapters, req.Adapter) {
		e.holdings = slices.Clone(e.holdings)
		e.holdings[i].Adapters = append(slices.Clone(e.holdings[i].Adapters), req.Adapter)
	}
	if !e.holdings[i].Ready {
		e.startPull(h, bytes)
	}
	return ""
}

// pull is a transfer of weights to the engine.
type pull struct{ stop func() bool }

// startPull makes a range ready when its weights have arrived; a pull in progress continues. The caller holds e.mu.
func (e *Engine) startPull(h cataloger.Holding, bytes uint64) {
	key := rangeOf(h)
	if e.pulls[key] != nil {
		return
	}
	p := &pull{}
	e.pulls[key] = p
	p.stop = e.cfg.Clock.AfterFunc(durationOf(float64(bytes), e.cfg.PullRate), func() { e.finishPull(h, p) })
}

// unload drops the holdings that an order names and stops the pulls of their weights. The caller holds e.mu.
func (e *Engine) unload(req *v1.OrderRequest) {
	allLayers := req.FirstLayer == 0 && req.EndLayer == 0
	e.holdings = slices.DeleteFunc(slices.Clone(e.holdings), func(h cataloger.Holding) bool {
		if h.Model != req.Model || h.Version != req.Version {
			return false
		}
		if !allLayers && (h.FirstLayer != req.FirstLayer || h.EndLayer != req.EndLayer) {
			return false
		}
		if p := e.pulls[rangeOf(h)]; p != nil {
			p.stop()
			delete(e.pulls, rangeOf(h))
		}
		return true
	})
}

func (e *Engine) heldBytes() uint64 {
	layers := uint64(0)
	for _, h := range e.holdings {
		layers += uint64(h.EndLayer - h.FirstLayer)
	}
	return layers * e.cfg.LayerBytes
}

func (e *Engine) finishPull(h cataloger.Holding, p *pull) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.pulls[rangeOf(h)] != p {
		return
	}
	delete(e.pulls, rangeOf(h))
	e.holdings = slices.Clone(e.holdings)
	for i, o := range e.holdings {
		if sameRange(o, h) {
			e.holdings[i].Ready = true
		}
	}
}

// layerRange identifies a range of layers of a model version.
type layerRange struct {
	model, version string
	first, end     uint32
}

func rangeOf(h cataloger.Holding) layerRange {
	return layerRange{h.Model, h.Version, h.FirstLayer, h.EndLayer}
}

func sameRange(a, b cataloger.Holding) bool { return rangeOf(a) == rangeOf(b) }
