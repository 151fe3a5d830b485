package admitter

import (
	"time"

	"github.com/rattantray/rattantray/internal/cataloger"
)

// Request describes a request for its admission.
type Request struct {
	Service   string
	Workspace cataloger.Workspace
	// Cost is the expected number of tokens, prompt and answer; values under 1 count as 1.
	Cost float64
	// Priority is higher for more urgent requests of the same workspace.
	Priority uint32
	// Deadline is when the answer must be complete; zero means none.
	Deadline time.Time
	// Expected is the expected time from the grant to the end of the answer; zero if unknown.
	Expected time.Duration
}

// Result is the outcome of a granted request.
type Result struct {
	// Tokens is the actual cost of the request; zero keeps the estimate.
	Tokens float64
	// OK is true if the answer was complete.
	OK bool
	// Overloaded is true if a target refused or delayed the request for lack of capacity.
	Overloaded bool
}
