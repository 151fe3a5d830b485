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
	"github.com/rattantray/rattantray/internal/logger"
	"github.com/rattantray/rattantray/internal/setter"
	"github.com/rattantray/rattantray/internal/timer"
	"github.com/rattantray/rattantray/platform"
)

// Options holds the dependencies and the flags of the command.
type Options struct {
	IO *streamer.IOStreams
	// SettingsFile is the path of the platform's settings file.
	SettingsFile string
	// Reload receives the signals that request a reload of the settings.
	Reload   <-chan os.Signal
	LogLevel string
	// MetricsPort is the port that serves metrics; 0 disables it.
	MetricsPort int
}

// NewCmdStart returns the command; runF replaces its action in tests.
func NewCmdStart(f *maker.Factory, runF func(context.Context, *Options) error) *cobra.Command {
	opts := &Options{IO: f.IO}
	cmd := &cobra.Command{
		Use:   "start",
		Short: "Run a gateway",
		Long: `Run a gateway on the platform until it is told to stop.

The platform's settings file says where to listen and where the store is.
SIGHUP has it read again. SIGTERM starts a graceful shutdown: clients are sent
elsewhere, requests in progress end, and the command exits with 0.`,
		Example: `  rattantray gateway start --settings /etc/rattantray/settings.toml`,
		Args:    exiter.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			if opts.SettingsFile == "" {
				return exiter.Flagf("no settings file: use --settings or %s", platform.SettingsVariable)
			}
			if err := setter.CheckOneOf("log-level", opts.LogLevel, "debug", "info", "warn", "error"); err != nil {
				return exiter.WrapFlag(err)
			}
			if runF != nil {
				return runF(cmd.Context(), opts)
			}
			reload := make(chan os.Signal, 1)
			signal.Notify(reload, syscall.SIGHUP)
			defer signal.Stop(reload)
			opts.Reload = reload
			return run(cmd.Context(), opts)
		},
	}
	flags := cmd.Flags()
	flags.StringVar(&opts.SettingsFile, "settings", os.Getenv(platform.SettingsVariable), "Read the platform's settings from this `file`")
	flags.IntVar(&opts.MetricsPort, "metrics-port", 0, "Serve the metrics on this `port` of the machine's address; 0 serves none")
	flags.StringVar(&opts.LogLevel, "log-level", "info", "Log from this `level`: debug, info, warn, error")
	return cmd
}

func run(ctx context.Context, opts *Options) error {
	level, err := zerolog.ParseLevel(opts.LogLevel)
	if err != nil {
		return exiter.WrapFlag(err)
	}
	zerolog.TimeFieldFormat = zerolog.TimeFormatUnixMs
	writer := logger.New(opts.IO.Out, timer.System{})
	writerCtx, stopWriter := context.WithCancel(context.WithoutCancel(ctx))
	writerDone := make(chan struct{})
	go func() {
		writer.Run(writerCtx)
		close(writerDone)
	}()
	err = platform.Run(ctx, platform.Options{
		SettingsFile: opts.SettingsFile, MetricsPort: opts.MetricsPort, Reload: opts.Reload,
		Log: zerolog.New(writer).Level(level).With().Timestamp().Logger(),
	})
	stopWriter()
	<-writerDone
	return err
}
