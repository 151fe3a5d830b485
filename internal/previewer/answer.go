package previewer

// Answer says where a request would go now and why.
type Answer struct {
	// Gateway is the gateway that would take the request, in DataCentre.
	Gateway       string `json:"gateway"`
	DataCentre    string `json:"data-centre"`
	ConfigVersion uint64 `json:"config-version"`
	Route         string `json:"route"`
	Workspace     string `json:"workspace,omitempty"`
	// Service is that of the request, and Services all that the route sends its requests to.
	Service  string  `json:"service,omitempty"`
	Services []Share `json:"services"`
	// Priority is 0 for the most urgent requests, and Rank the number of priorities that go before.
	Priority int `json:"priority"`
	Rank     int `json:"rank"`
	// Contended is true if requests of different ranks compete for the room of the service, and Ahead is then the share of the recent
	// demand that goes before the request.
	Contended bool    `json:"contended"`
	Ahead     float64 `json:"ahead,omitempty"`
	// BeyondShare is true if the workspace asks for so much more than usual that the request leaves room to the others.
	BeyondShare bool `json:"beyond-share,omitempty"`
	// Tokens is what a generation is expected to keep in memory.
	Tokens float64 `json:"tokens,omitempty"`
	// Sent is true if the request would be sent, and Refusal says why not.
	Sent    bool     `json:"sent"`
	Refusal *Refusal `json:"refusal,omitempty"`
	// Why says in words how the choice was made.
	Why string `json:"why"`
	// Stages are those of the path of a generation, and FirstTargets where such generations begin, as choices are random within bounds.
	Stages       []Stage `json:"path,omitempty"`
	FirstTargets []Share `json:"first-targets,omitempty"`
	// Others are the targets that are not on the path.
	Others []Candidate `json:"others,omitempty"`
	// Instances are those of a plain service, the best first.
	Instances []Instance `json:"instances,omitempty"`
}

// Share is the part of requests that goes to a service or target, in [0,1].
type Share struct {
	Name  string  `json:"name"`
	Share float64 `json:"share"`
}

// Refusal is how a request would be refused.
type Refusal struct {
	Code   uint32 `json:"code"`
	Name   string `json:"name"`
	Reason string `json:"reason"`
	// RetryAfterMS is the shortest time that a client would be told to wait, in milliseconds; the real one is up to half longer.
	RetryAfterMS float64 `json:"retry-after-ms,omitempty"`
}

// Candidate is a target of a generation.
type Candidate struct {
	Target     string `json:"target"`
	DataCentre string `json:"data-centre"`
	FirstLayer uint32 `json:"first-layer"`
	EndLayer   uint32 `json:"end-layer"`
	Version    string `json:"version,omitempty"`
	// Fill is the used share of its room, and MaxFill the share up to which the generation may use it.
	Fill    float64 `json:"fill"`
	MaxFill float64 `json:"max-fill"`
	// Pace is over 1 for a target that is slower than usual.
	Pace     float64 `json:"pace"`
	Requests int     `json:"requests"`
	// LayerCostUS and EntryCostUS are the cost of a layer and that of a first stage, in microseconds a token.
	LayerCostUS float64 `json:"layer-cost-us,omitempty"`
	EntryCostUS float64 `json:"entry-cost-us,omitempty"`
	// LimitFill is the used share of its limit of requests.
	LimitFill float64 `json:"limit-fill,omitempty"`
	// Obstacle is why it can't be used; empty if it only costs more.
	Obstacle string `json:"obstacle,omitempty"`
	// WaitMS is how long the obstacle lasts, in milliseconds, where that is known.
	WaitMS float64 `json:"wait-ms,omitempty"`
}

// Stage is a target on the path, which runs the layers from FirstLayer to EndLayer.
type Stage struct{ Candidate }

// Instance is an instance of a plain service.
type Instance struct {
	Target     string `json:"target"`
	DataCentre string `json:"data-centre"`
	// Cost is that of the next request; 1 is an idle instance that answers as usual.
	Cost     float64 `json:"cost"`
	Requests int     `json:"requests"`
	// Preferred is true for the instances that the request is drawn from.
	Preferred bool `json:"preferred"`
	// Obstacle is why it gets no request; empty if it only costs more.
	Obstacle string `json:"obstacle,omitempty"`
}

// Failure says why a query can't be answered.
type Failure struct {
	Error string `json:"error"`
}
