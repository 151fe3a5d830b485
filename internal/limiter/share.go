package limiter

import (
	"math"

	"github.com/rattantray/rattantray/internal/cataloger"
)

// Unlimited is the rate or concurrency of a share without a limit.
var Unlimited = math.Inf(1)

// Key identifies the limits of a workspace at a service.
type Key struct {
	Service   string
	Workspace cataloger.Workspace
}

// Share is one entry's part of the limits of a workspace.
type Share struct {
	// Rate is in requests a second.
	Rate float64
	// Concurrency is the maximum number of requests in progress.
	Concurrency float64
}

// Demand is the demand of a workspace at one entry.
type Demand struct {
	Key Key
	// Rate is in requests a second, including refused ones.
	Rate float64
	// Wanted is the number of requests in progress and waiting.
	Wanted float64
}
