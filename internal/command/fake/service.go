package fake

import (
	"context"
	"time"

	"github.com/spf13/cobra"

	"github.com/rattantray/rattantray/internal/command/exiter"
	"github.com/rattantray/rattantray/internal/command/maker"
	"github.com/rattantray/rattantray/internal/command/streamer"
	"github.com/rattantray/rattantray/internal/servicefaker"
	"github.com/rattantray/rattantray/internal/timer"
)

type serviceOptions struct {
	IO          *streamer.IOStreams
	Listen      string
	Name        string
	WorkTime    time.Duration
	Deduplicate bool
}

func newCmdService(f *maker.Factory, runF func(context.Context, *serviceOptions) error) *cobra.Command {
	opts := &serviceOptions{IO: f.IO}
	cmd := &cobra.Command{
		Use:     "service",
		Short:   "Run a fake booking application",
		Example: `  rattantray fake service --listen 127.0.0.1:7301 --name bookings-1`,
		Args:    exiter.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			if runF != nil {
				return runF(cmd.Context(), opts)
			}
			return runService(cmd.Context(), opts)
		},
	}
	cmd.Flags().StringVar(&opts.Listen, "listen", "127.0.0.1:7301", "Listen on this `address`")
	cmd.Flags().StringVar(&opts.Name, "name", "bookings-1", "Name of the target")
	cmd.Flags().DurationVar(&opts.WorkTime, "work-time", 5*time.Millisecond, "Time that each request takes")
	cmd.Flags().BoolVar(&opts.Deduplicate, "deduplicate", false, "Answer a repeated request id from memory")
	return cmd
}

func runService(ctx context.Context, opts *serviceOptions) error {
	service := servicefaker.New(servicefaker.Config{
		Name:        opts.Name,
		Clock:       timer.System{},
		WorkTime:    opts.WorkTime,
		Deduplicate: opts.Deduplicate,
	})
	return serve(ctx, opts.IO, "service "+opts.Name, opts.Listen, service.Handler())
}
