package commander

import (
	"context"
	"time"

	"github.com/rattantray/rattantray/internal/planner"
	"github.com/rattantray/rattantray/internal/storer"
	"github.com/rattantray/rattantray/internal/timer"
	enginev1 "github.com/rattantray/rattantray/pkg/api/rattantray/engine/v1"
)

// Lease is the view of the lease that gives the right to order.
type Lease struct {
	// Fencing is the number that rides on each order; it grows with each holder.
	Fencing func() uint64
	// Remaining is how long the lease is still held, by the monotonic clock.
	Remaining func() time.Duration
	// Valid tells whether the lease is held.
	Valid func() bool
}

// Commander carries out the plans of one model.
type Commander struct {
	Clock timer.Clock
	Store *storer.Store
	Lease Lease
	// Model names the model whose targets are ordered.
	Model string
	// Plan returns the changes that are wanted now.
	Plan func(ctx context.Context) (planner.Placement, error)
	// Order sends one order to a target.
	Order func(ctx context.Context, address string, r *enginev1.OrderRequest) (*enginev1.OrderResponse, error)
	// Describe reads the state of a target.
	Describe func(ctx context.Context, address string) (*enginev1.DescribeResponse, error)
}

// Run serves until ctx is done.
func (c *Commander) Run(ctx context.Context) error {
	<-ctx.Done()
	return nil
}
