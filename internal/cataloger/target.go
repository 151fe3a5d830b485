package cataloger

import "slices"

// DataCentre names a data centre.
type DataCentre string

// Workspace names a workspace.
type Workspace string

// Role is the purpose of a VM.
type Role string

// Roles of VMs.
const (
	RoleEntry  Role = "entry"
	RoleTarget Role = "target"
)

// VM is a machine on the platform's list.
type VM struct {
	Name       string
	DataCentre DataCentre
	Role       Role
	// Address is the host:port of the caller API on an entry VM.
	Address string
	Leaving bool
	Targets []Target
}

// TargetType distinguishes engines from plain services.
type TargetType string

// Types of targets.
const (
	TypeEngine  TargetType = "engine"
	TypeService TargetType = "service"
)

// State is the lifecycle state of a target or a member; only a live one gets new work.
type State string

// States of targets and members.
const (
	StateJoining State = "joining"
	StateLive    State = "live"
	StateSuspect State = "suspect"
	StateLeaving State = "leaving"
	StateDead    State = "dead"
)

// Holding is a range of layers of one model version that an engine holds.
type Holding struct {
	Model   string
	Version string
	// FirstLayer is inclusive, EndLayer exclusive.
	FirstLayer uint32
	EndLayer   uint32
	Adapters   []string
	Ready      bool
}

// Target is a model engine or an instance of a plain service.
type Target struct {
	Name       string
	VM         string
	DataCentre DataCentre
	// Address is host:port.
	Address string
	Type    TargetType
	// Kind is the kind of accelerator.
	Kind string
	// Service is the service that an instance of a plain service serves.
	Service string
	// ChecksFencing is true if the target refuses orders with an old fencing number.
	ChecksFencing bool
	// PrefillRate and DecodeRate are in layer-tokens a second.
	PrefillRate float64
	DecodeRate  float64
	// MemoryBytes is the accelerator memory for weights and KV cache.
	MemoryBytes uint64
	Role        string
	Holdings    []Holding
	State       State
	// Incarnation distinguishes starts under one name and grows with each; 0 means unknown.
	Incarnation uint64
	// Slots is the number of requests that the target runs at a time; 0 means unknown.
	Slots int
}

// ReadyLayers returns the range of layers that the target holds ready, and the version of their weights; the range is empty if none
// are ready.
func (t Target) ReadyLayers() (first, end uint32, version string) {
	for _, h := range t.Holdings {
		if h.Ready {
			return h.FirstLayer, h.EndLayer, h.Version
		}
	}
	return 0, 0, ""
}

// WithState returns a copy of the target in another state.
func (t Target) WithState(s State) Target {
	t.State = s
	return t
}

// WithHoldings returns a copy of the target with other holdings.
func (t Target) WithHoldings(h []Holding) Target {
	t.Holdings = slices.Clone(h)
	return t
}

// Link is the directed connection between two targets.
type Link struct {
	From string
	To   string
	// Bandwidth is in bytes a second.
	Bandwidth float64
	// LatencySeconds is the one-way latency.
	LatencySeconds float64
}

// Stage is one step of a route: the layers that one target runs.
type Stage struct {
	Target  string
	Address string
	// FirstLayer is inclusive, EndLayer exclusive.
	FirstLayer uint32
	EndLayer   uint32
}

// Route is a chain of stages that covers the layers of one model version.
type Route struct {
	Model   string
	Version string
	Stages  []Stage
}

// Covers reports whether the stages cover [0,layers) exactly once, in order.
func (r Route) Covers(layers uint32) bool {
	next := uint32(0)
	for _, s := range r.Stages {
		if s.FirstLayer != next || s.EndLayer <= s.FirstLayer {
			return false
		}
		next = s.EndLayer
	}
	return next == layers && layers > 0
}
