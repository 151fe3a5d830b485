package start

import (
	"context"
	"os"
	"os/signal"
	"syscall"

	"github.com/rs/zerolog"
	"github.com/spf13/cobra"

	"github.com/rattantray/rattantray/internal/command/exiter"
	"github.com/rattantray/rattantray/internal/command/maker"
	"github.com/rattantray/rattantray/internal/command/streamer"
	"github.com/rattantray/rattantray/internal/router"
	"github.com/rattantray/rattantray/internal/setter"
	"github.com/rattantray/rattantray/internal/timer"
)

// Options holds the dependencies and the flags of the command.
type Options struct {
	IO       *streamer.IOStreams
	Settings router.Settings
	// Signals receives the signals that stop the router.
	Signals <-chan os.Signal
	// UnknownVariables names environment variables with the program's prefix that no flag reads.
	UnknownVariables []string
	// LogSettings logs the effective settings.
	LogSettings func(zerolog.Logger)
}

// NewCmdStart returns the command; runF replaces its action in tests.
func NewCmdStart(f *maker.Factory, runF func(context.Context, *Options) error) *cobra.Command {
	opts := &Options{IO: f.IO}
	cmd := &cobra.Command{
		Use:   "start",
		Short: "Run a router",
		Long: `Run a router until it is told to stop.

SIGTERM or an interrupt starts a graceful shutdown: callers are sent elsewhere,
requests in progress end, and the command exits with 0. A second signal tells
how many requests would be cut; a third one cuts them.`,
		Example: `  rattantray router start --data-centre kochi --listen 10.0.0.5:7070 \
    --peer-listen 10.0.0.5:7071 --platform 10.0.0.2:7200 --peer-secret "$SECRET"`,
		Args: exiter.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			opts.Settings.Release = f.Release
			if err := opts.Settings.Check(); err != nil {
				return exiter.WrapFlag(err)
			}
			opts.UnknownVariables = setter.UnknownVariables(cmd.Flags())
			opts.LogSettings = func(log zerolog.Logger) { setter.LogSettings(log, cmd.Flags(), router.SecretFlags...) }
			if runF != nil {
				return runF(cmd.Context(), opts)
			}
			signals := make(chan os.Signal, 1)
			signal.Notify(signals, os.Interrupt, syscall.SIGTERM)
			defer signal.Stop(signals)
			opts.Signals = signals
			return run(cmd.Context(), opts)
		},
	}
	opts.Settings.AddFlags(cmd.Flags())
	return cmd
}

func run(ctx context.Context, opts *Options) error {
	log, err := router.NewLog(opts.IO.Err, opts.Settings)
	if err != nil {
		return exiter.WrapFlag(err)
	}
	opts.LogSettings(log)
	for _, name := range opts.UnknownVariables {
		log.Warn().Str("variable", name).Msg("environment variable is not read by any flag")
	}
	r, err := router.New(router.Config{
		Settings: opts.Settings,
		Log:      log,
		Clock:    timer.System{},
		Network:  router.TCP(),
		Ready:    func(address string) { opts.IO.Printf("router ready on %s\n", address) },
	})
	if err != nil {
		return exiter.WrapFlag(err)
	}
	runDone := make(chan struct{})
	defer close(runDone)
	go watchSignals(ctx, opts, log, r, runDone)
	return r.Run(ctx)
}

// watchSignals reports each signal to the router and logs its effect. The first signal also cancels ctx.
func watchSignals(ctx context.Context, opts *Options, log zerolog.Logger, r *router.Router, runDone <-chan struct{}) {
	select {
	case <-ctx.Done():
	case <-runDone:
		return
	}
	for {
		select {
		case <-runDone:
			return
		case <-opts.Signals:
			log.Warn().Msg(r.HandleSignal())
		}
	}
}
