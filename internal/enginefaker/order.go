package enginefaker

import (
	"fmt"
	"slices"
	"strings"

	"github.com/rattantray/rattantray/internal/cataloger"
	v1 "github.com/rattantray/rattantray/pkg/api/rattantray/engine/v1"
)

const maxOrders = 10_000

// order carries out an order; the weights of a load are ready some time later.
func (e *Engine) order(req *v1.OrderRequest) *v1.OrderResponse {
	e.mu.Lock()
	defer e.mu.Unlock()
	if old := e.orders[req.OrderId]; old != nil && req.OrderId != "" {
		return old
	}
	reason := e.carryOut(req)
	res := &v1.OrderResponse{Accepted: reason == "", Reason: reason}
	if e.cfg.ChecksFencing {
		res.Fencing = e.fencing
	}
	if len(e.orders) >= maxOrders {
		clear(e.orders)
	}
	e.orders[req.OrderId] = res
	e.ledger.order(OrderRecord{
		OrderID: req.OrderId, Fencing: req.Fencing,
		Action: strings.ToLower(strings.TrimPrefix(req.Action.String(), "ACTION_")),
		Model:  req.Model, Version: req.Version, Adapter: req.Adapter,
		FirstLayer: req.FirstLayer, EndLayer: req.EndLayer, Role: req.Role,
		Accepted: res.Accepted, Reason: reason,
	})
	return res
}

// carryOut requires e.mu and returns why the order is refused, or "".
func (e *Engine) carryOut(req *v1.OrderRequest) string {
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
		e.holdings = slices.DeleteFunc(slices.Clone(e.holdings), func(h cataloger.Holding) bool {
			whole := req.FirstLayer == 0 && req.EndLayer == 0
			return h.Model == req.Model && h.Version == req.Version &&
				(whole || h.FirstLayer == req.FirstLayer && h.EndLayer == req.EndLayer)
		})
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
	bytes := uint64(0)
	if i < 0 {
		bytes = uint64(h.EndLayer-h.FirstLayer) * e.cfg.LayerBytes
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
		e.cfg.Clock.AfterFunc(seconds(float64(bytes), e.cfg.PullRate), func() { e.ready(h) })
	}
	return ""
}

func (e *Engine) heldBytes() uint64 {
	layers := uint64(0)
	for _, h := range e.holdings {
		layers += uint64(h.EndLayer - h.FirstLayer)
	}
	return layers * e.cfg.LayerBytes
}

func (e *Engine) ready(h cataloger.Holding) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.holdings = slices.Clone(e.holdings)
	for i, o := range e.holdings {
		if sameRange(o, h) {
			e.holdings[i].Ready = true
		}
	}
}

func sameRange(a, b cataloger.Holding) bool {
	return a.Model == b.Model && a.Version == b.Version && a.FirstLayer == b.FirstLayer && a.EndLayer == b.EndLayer
}
