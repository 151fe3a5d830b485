package limiter

import (
	"math"

	"github.com/rattantray/rattantray/internal/cataloger"
)

// Unlimited is the rate or concurrency of a share without a limit.
var Unlimited = math.Inf(1)

// Key names the limits of a workspace at a service.
type Key struct {
	Service   string
	Workspace cataloger.Workspace
}

// Share is what one entry may use of the limits of a workspace.
type Share struct {
	// Rate is in requests a second.
	Rate float64
	// Concurrency bounds the requests in progress.
	Concurrency float64
}

// Demand is what a workspace asks of one entry.
type Demand struct {
	Key Key
	// Rate is in requests a second, refused ones included.
	Rate float64
	// Wanted counts the requests in progress and waiting.
	Wanted float64
}
