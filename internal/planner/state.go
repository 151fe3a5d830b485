package planner

import (
	"math"
	"time"

	"github.com/rattantray/rattantray/internal/cataloger"
)

// Model describes the model to plan for.
type Model struct {
	Name string
	// Version is the wanted version.
	Version string
	Layers  uint32
	// LayerBytes is the size of one layer's weights.
	LayerBytes uint64
	// ActivationBytes is the size of one token's activation on a link.
	ActivationBytes uint64
	// Adapters are loaded beside the weights. Every target of the model gets each one, as any chain may get a request for it.
	Adapters []string
	// AdapterBytes is the size of an adapter.
	AdapterBytes uint64
}

// State is the input of a plan.
type State struct {
	Model Model
	// Targets are the engines assigned to the model.
	Targets []cataloger.Target
	Links   []cataloger.Link
	// Bandwidth returns the bandwidth from one target to another in bytes per second. If it is nil, Links are used, and
	// a pair without a link is treated as free.
	Bandwidth func(from, to *cataloger.Target) float64
	// LinksVersion must change if the results of Bandwidth do, as a Planner caches earlier plans.
	LinksVersion uint64
	// PromptRatio is the number of prompt tokens per generated token; 0 leaves prefill out of the bound.
	PromptRatio float64
	// OfferedLoad is the load in generated tokens per second; no change may lower the bound below it.
	OfferedLoad float64
	// LoadUnknown states that the load may be greater than OfferedLoad; no change may lower the bound at all.
	LoadUnknown bool
	Pace        Pace
}

// Pace limits the changes in progress; a field that is 0 takes its default.
type Pace struct {
	// MaxLoads is the maximum number of targets that pull weights at a time.
	MaxLoads int
	// StoreRate is the bandwidth that the weight store gives this model, in bytes per second.
	StoreRate float64
	// MaxLoadTime limits the bytes being pulled: at StoreRate they must arrive within it.
	MaxLoadTime time.Duration
	// MaxMoves is the maximum number of targets that change a range they already hold at a time.
	MaxMoves int
}

const (
	defaultMaxLoads    = 8
	defaultStoreRate   = 1 << 30
	defaultMaxLoadTime = 5 * time.Minute
	defaultMaxMoves    = 2
)

func (p Pace) withDefaults() Pace {
	if p.MaxLoads <= 0 {
		p.MaxLoads = defaultMaxLoads
	}
	if p.StoreRate <= 0 {
		p.StoreRate = defaultStoreRate
	}
	if p.MaxLoadTime <= 0 {
		p.MaxLoadTime = defaultMaxLoadTime
	}
	if p.MaxMoves <= 0 {
		p.MaxMoves = defaultMaxMoves
	}
	return p
}

// bytes returns the maximum number of bytes that may be pulled at a time.
func (p Pace) bytes() float64 { return p.StoreRate * p.MaxLoadTime.Seconds() }

// ChangeKind is the kind of operation that a change asks of a target.
type ChangeKind string

// Kinds of changes.
const (
	ChangeLoad   ChangeKind = "load"
	ChangeUnload ChangeKind = "unload"
	ChangeRole   ChangeKind = "change-role"
)

// Change is one step from the current holdings to the wanted ones.
type Change struct {
	Kind    ChangeKind
	Target  string
	Address string
	Holding cataloger.Holding
	// Role is prefill, decode or both, for ChangeRole.
	Role string
	// Bytes is the number of bytes that the target pulls from the weight store.
	Bytes uint64
}

// Assignment is the range of layers that a target is to hold.
type Assignment struct {
	Target     string
	FirstLayer uint32
	EndLayer   uint32
}

// Placement is the result of a plan.
type Placement struct {
	// Changes are those that may be ordered now; they are paced and never lower the bound below the offered load.
	Changes []Change
	// Assignments are the ranges that targets are to hold in the end.
	Assignments []Assignment
	// Bound is the max-flow bound of the holdings that are ready, in tokens per second.
	Bound float64
	// UpperBound is the total rate of the targets divided by the number of layers, in tokens per second, which no
	// placement can exceed.
	UpperBound float64
	// BlockedReason says why wanted changes wait; it is empty if none does.
	BlockedReason string
}

const (
	// kvShare is the share of a target's memory that is reserved for the KV cache.
	kvShare = 0.3
	// defaultCells is the number of cells from which ranges are built, so that their boundaries meet.
	defaultCells = 16
)

// capacity returns the number of layers that fit into a target's memory beside the KV cache.
func (m Model) capacity(t cataloger.Target) uint32 {
	if m.LayerBytes == 0 {
		return m.Layers
	}
	fits := float64(t.MemoryBytes) * (1 - kvShare) / float64(m.LayerBytes)
	return uint32(min(math.Floor(fits), float64(m.Layers)))
}

// rate returns the layer-tokens per second that a target generates while it also prefills the prompts that come with them.
func (s State) rate(t cataloger.Target) float64 {
	if s.PromptRatio <= 0 || t.PrefillRate <= 0 || t.DecodeRate <= 0 {
		return max(0, t.DecodeRate)
	}
	return 1 / (1/t.DecodeRate + s.PromptRatio/t.PrefillRate)
}

// grid returns the boundaries of the cells; each cell fits into the smallest capacity.
func (m Model) grid(smallest uint32) []uint32 {
	n := min(defaultCells, m.Layers)
	if smallest > 0 {
		n = max(n, (m.Layers+smallest-1)/smallest)
	}
	cuts := make([]uint32, 0, n+1)
	for i := range n + 1 {
		cuts = append(cuts, uint32(uint64(i)*uint64(m.Layers)/uint64(max(n, 1))))
	}
	return cuts
}
