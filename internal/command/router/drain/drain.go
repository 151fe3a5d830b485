package drain

import (
	"context"
	"time"

	"connectrpc.com/connect"
	"github.com/spf13/cobra"
	"google.golang.org/protobuf/types/known/durationpb"

	"github.com/rattantray/rattantray/internal/command/exiter"
	"github.com/rattantray/rattantray/internal/command/maker"
	"github.com/rattantray/rattantray/internal/command/streamer"
	v1 "github.com/rattantray/rattantray/pkg/api/rattantray/v1"
	"github.com/rattantray/rattantray/pkg/api/rattantray/v1/rattantrayv1connect"
)

// Options holds the dependencies and the flags of the command.
type Options struct {
	IO       *streamer.IOStreams
	Operator func() (rattantrayv1connect.OperatorServiceClient, error)

	Timeout time.Duration
}

// NewCmdDrain returns the command; runF replaces its action in tests.
func NewCmdDrain(f *maker.Factory, runF func(context.Context, *Options) error) *cobra.Command {
	opts := &Options{IO: f.IO, Operator: f.Operator}
	cmd := &cobra.Command{
		Use:   "drain",
		Short: "Shut one router down without cutting a request",
		Long: `Start a graceful shutdown of the router at --router.

Callers are sent elsewhere first; requests in progress end; the process then
exits with 0. The command returns when the shutdown has begun.`,
		Example: `  rattantray router drain --router 127.0.0.1:7071
  rattantray router drain --timeout 2m`,
		Args: exiter.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			if opts.Timeout < 0 {
				return exiter.Flagf("--timeout must not be negative")
			}
			if runF != nil {
				return runF(cmd.Context(), opts)
			}
			return run(cmd.Context(), opts)
		},
	}
	cmd.Flags().DurationVar(&opts.Timeout, "timeout", 0, "Bound the shutdown by this `duration`; 0 takes the router's setting")
	return cmd
}

func run(ctx context.Context, opts *Options) error {
	client, err := opts.Operator()
	if err != nil {
		return err
	}
	req := &v1.DrainRequest{}
	if opts.Timeout > 0 {
		req.Timeout = durationpb.New(opts.Timeout)
	}
	resp, err := client.Drain(ctx, connect.NewRequest(req))
	if err != nil {
		return err
	}
	opts.IO.Printf("draining: %d requests in progress\n", resp.Msg.InProgress)
	return nil
}
