package dev

import (
	"context"
	"net"
	"time"

	"github.com/spf13/cobra"

	"github.com/rattantray/rattantray/internal/command/exiter"
	"github.com/rattantray/rattantray/internal/command/maker"
	"github.com/rattantray/rattantray/internal/command/streamer"
	"github.com/rattantray/rattantray/internal/router"
)

const maxRouters = 64

// Options holds the dependencies and the flags of the command.
type Options struct {
	IO      *streamer.IOStreams
	Release string

	Listen    string
	Routers   int
	LogLevel  string
	LogFormat string
	// StopAfter is the time until the command shuts down; 0 waits for an interrupt.
	StopAfter time.Duration
}

// NewCmdDev returns the command; runF replaces its action in tests.
func NewCmdDev(f *maker.Factory, runF func(context.Context, *Options) error) *cobra.Command {
	opts := &Options{IO: f.IO, Release: f.Release}
	cmd := &cobra.Command{
		Use:   "dev",
		Short: "Run routers, engines, a plain service and a platform in one process",
		Long: `Run everything in one process on loopback, to try rattantray out.

The platform, eight engines of four kinds that hold layers of one model, and a
booking application are small stand-ins. An interrupt shuts down gracefully.

To try a restore from a backup, POST /restore?age=5s to the platform's address,
which is printed at the start: the platform returns to a copy of that age.`,
		Example: `  rattantray dev
  rattantray dev --listen 127.0.0.1:8080 --routers 2`,
		Args: exiter.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			if err := opts.check(); err != nil {
				return err
			}
			if runF != nil {
				return runF(cmd.Context(), opts)
			}
			return run(cmd.Context(), opts)
		},
	}
	flags := cmd.Flags()
	flags.StringVar(&opts.Listen, "listen", maker.DefaultRouter, "Serve callers of the first router on this `address`; further routers take the next ports")
	flags.IntVar(&opts.Routers, "routers", 2, "Run this `number` of routers")
	flags.StringVar(&opts.LogLevel, "log-level", "warn", "Log from this `level`: debug, info, warn, error")
	flags.StringVar(&opts.LogFormat, "log-format", "text", "Log as json or text")
	flags.DurationVar(&opts.StopAfter, "stop-after", 0, "Shut down after this `duration`; 0 waits for an interrupt")
	return cmd
}

func (o *Options) check() error {
	host, _, err := net.SplitHostPort(o.Listen)
	if ip := net.ParseIP(host); err != nil || ip == nil || !ip.IsLoopback() {
		return exiter.Flagf("--listen %q is not accepted: want a loopback address and a port, as 127.0.0.1:7070", o.Listen)
	}
	if o.Routers < 1 || o.Routers > maxRouters {
		return exiter.Flagf("--routers %d is not accepted: want 1 to %d", o.Routers, maxRouters)
	}
	if o.StopAfter < 0 {
		return exiter.Flagf("--stop-after must not be negative")
	}
	return nil
}

func run(ctx context.Context, opts *Options) error {
	if opts.StopAfter > 0 {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, opts.StopAfter)
		defer cancel()
	}
	log, err := router.NewLog(opts.IO.Err, router.Settings{LogLevel: opts.LogLevel, LogFormat: opts.LogFormat})
	if err != nil {
		return exiter.WrapFlag(err)
	}
	f, err := startFleet(opts, log)
	if err != nil {
		return err
	}
	defer f.close()
	return f.run(ctx)
}

func printHints(s *streamer.IOStreams, address, platform string) {
	s.Printf(`
try:
  rattantray request send --router %[1]s -w counter -s renewal-assistant -d 'Draft a renewal letter' --max-tokens 24
  rattantray request send --router %[1]s -w counter -s bookings -m 'POST /bookings' -d '{"card":4711}'
  rattantray service view --router %[1]s renewal-assistant > assistant.yaml   # edit it, then: service apply -f assistant.yaml
  curl -X POST 'http://%[2]s/restore?age=5s'   # the platform comes back from a copy that is 5 s old
`, address, platform)
}
