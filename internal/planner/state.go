package planner

import (
	"math"
	"time"

	"github.com/rattantray/rattantray/internal/cataloger"
)

// Model is what a planner needs to know of the model it plans for.
type Model struct {
	Name string
	// Version is the wanted version.
	Version string
	Layers  uint32
	// LayerBytes is the size of one layer's weights.
	LayerBytes uint64
	// ActivationBytes is what one token's activation takes on a link.
	ActivationBytes uint64
	// Adapters are loaded beside the weights, each on every target of the model, as any of its chains may get a request.
	Adapters []string
	// AdapterBytes is the size of an adapter.
	AdapterBytes uint64
}

// State is everything that a plan is made from.
type State struct {
	Model Model
	// Targets are the engines assigned to the model.
	Targets []cataloger.Target
	Links   []cataloger.Link
	// Bandwidth returns the bytes a second from one target to another; nil takes Links, and a pair without a link is
	// taken as free.
	Bandwidth func(from, to *cataloger.Target) float64
	// LinksVersion must change where Bandwidth does, for a Planner that keeps earlier work.
	LinksVersion uint64
	// PromptRatio is the number of prompt tokens to each generated one; 0 leaves prefill out of the bound.
	PromptRatio float64
	// Offered is the load in generated tokens a second, below which no change may take the bound.
	OfferedLoad float64
	Pace        Pace
}

// Pace bounds the changes under way; the zero value of a field takes its default.
type Pace struct {
	// Loads bounds the targets that pull weights at a time.
	MaxLoads int
	// StoreRate is the bytes a second that the weight store gives this model.
	StoreRate float64
	// LoadTime bounds the bytes under way: they must arrive within it at StoreRate.
	MaxLoadTime time.Duration
	// Moves bounds the targets that change a range they already hold, at a time.
	MaxMoves int
}

const (
	defaultLoads     = 8
	defaultStoreRate = 1 << 30
	defaultLoadTime  = 5 * time.Minute
	defaultMoves     = 2
)

func (p Pace) withDefaults() Pace {
	if p.MaxLoads <= 0 {
		p.MaxLoads = defaultLoads
	}
	if p.StoreRate <= 0 {
		p.StoreRate = defaultStoreRate
	}
	if p.MaxLoadTime <= 0 {
		p.MaxLoadTime = defaultLoadTime
	}
	if p.MaxMoves <= 0 {
		p.MaxMoves = defaultMoves
	}
	return p
}

// bytes is how much may be under way at a time.
func (p Pace) bytes() float64 { return p.StoreRate * p.MaxLoadTime.Seconds() }

// ChangeKind says what a change asks of a target.
type ChangeKind string

// Kinds of changes.
const (
	ChangeLoad   ChangeKind = "load"
	ChangeUnload ChangeKind = "unload"
	ChangeRole   ChangeKind = "change-role"
)

// Change is one step from the holdings of now to the wanted ones.
type Change struct {
	Kind    ChangeKind
	Target  string
	Address string
	Holding cataloger.Holding
	// Role is prefill, decode or both, for ChangeRole.
	Role string
	// Bytes is what the target pulls from the weight store.
	Bytes uint64
}

// Assignment is the range that a target is meant to hold.
type Assignment struct {
	Target     string
	FirstLayer uint32
	EndLayer   uint32
}

// Placement is the outcome of a plan.
type Placement struct {
	// Changes may be ordered now; they are paced and never lower the bound below the offered load.
	Changes []Change
	// Assignments are the ranges aimed at.
	Assignments []Assignment
	// Bound is the max-flow bound of the holdings that are ready, in tokens a second.
	Bound float64
	// Upper is the aggregate rate of the targets over the layers, which no placement can exceed.
	UpperBound float64
	// Blocked says why wanted changes wait, and is empty where none does.
	BlockedReason string
}

const (
	// kvShare is the part of a target's memory that is kept for KV cache.
	kvShare = 0.3
	// cells is the number of parts that ranges are made of, so that their boundaries meet.
	cells = 16
)

// capacity is how many layers fit into a target beside the KV cache.
func (m Model) capacity(t cataloger.Target) uint32 {
	if m.LayerBytes == 0 {
		return m.Layers
	}
	fits := float64(t.MemoryBytes) * (1 - kvShare) / float64(m.LayerBytes)
	return uint32(min(math.Floor(fits), float64(m.Layers)))
}

// rate is the layer-tokens a second that a target generates while it also runs the prompts that come with them.
func (s State) rate(t cataloger.Target) float64 {
	if s.PromptRatio <= 0 || t.PrefillRate <= 0 || t.DecodeRate <= 0 {
		return max(0, t.DecodeRate)
	}
	return 1 / (1/t.DecodeRate + s.PromptRatio/t.PrefillRate)
}

// grid returns the boundaries of the cells; a cell fits into the smallest capacity.
func (m Model) grid(smallest uint32) []uint32 {
	n := min(cells, m.Layers)
	if smallest > 0 {
		n = max(n, (m.Layers+smallest-1)/smallest)
	}
	cuts := make([]uint32, 0, n+1)
	for i := range n + 1 {
		cuts = append(cuts, uint32(uint64(i)*uint64(m.Layers)/uint64(max(n, 1))))
	}
	return cuts
}
