package admitter

import (
	"time"

	"github.com/rattantray/rattantray/internal/cataloger"
)

// Request is what admission needs to know of a request.
type Request struct {
	Service   string
	Workspace cataloger.Workspace
	// Cost is the expected number of tokens, prompt and answer; values under 1 count as 1.
	Cost float64
	// Priority is higher for more urgent requests of the same workspace.
	Priority uint32
	// Deadline is when the answer must be complete; zero where there is none.
	Deadline time.Time
	// Expected is the time from the grant to the end of the answer; zero where it is not known.
	Expected time.Duration
}

// Result is what a granted request came to.
type Result struct {
	// Tokens is the cost that the request really had; zero leaves the estimate.
	Tokens float64
	// OK is true where the answer was complete.
	OK bool
	// Overloaded is true where a target refused or delayed the request for want of capacity.
	Overloaded bool
}
