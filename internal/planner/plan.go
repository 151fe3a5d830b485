package planner

import (
	"github.com/rattantray/rattantray/internal/cataloger"
)

// Model is what a planner needs to know of the model it plans for.
type Model struct {
	Name    string
	Version string
	Layers  uint32
	// LayerBytes is the size of one layer's weights.
	LayerBytes uint64
	// ActivationBytes is what one token's activation takes on a link.
	ActivationBytes uint64
	Adapter         string
}

// State is everything that a plan is made from.
type State struct {
	Model   Model
	Targets []cataloger.Target
	Links   []cataloger.Link
	// Offered is the load in tokens a second.
	Offered float64
}

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

// Placement is the outcome of a plan.
type Placement struct {
	// Changes may be ordered now; they are paced and never lower the bound below the offered load.
	Changes []Change
	// Bound is the max-flow bound of the holdings of now, in tokens a second.
	Bound float64
}

// Plan decides the next changes.
func Plan(s State) Placement {
	p := Placement{}
	m := s.Model
	for _, t := range s.Targets {
		if t.State != cataloger.StateLive || len(t.Holdings) > 0 || m.LayerBytes == 0 {
			continue
		}
		layers := min(uint64(m.Layers), t.MemoryBytes/m.LayerBytes)
		if layers < uint64(m.Layers) {
			continue
		}
		p.Changes = append(p.Changes, Change{
			Kind: ChangeLoad, Target: t.Name, Address: t.Address, Bytes: layers * m.LayerBytes,
			Holding: cataloger.Holding{Model: m.Name, Version: m.Version, EndLayer: m.Layers},
		})
	}
	return p
}
