package view

import (
	"context"

	"connectrpc.com/connect"
	"github.com/spf13/cobra"

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

	Name     string
	Version  uint64
	Defaults bool
}

// NewCmdView returns the command; runF replaces its action in tests.
func NewCmdView(f *maker.Factory, runF func(context.Context, *Options) error) *cobra.Command {
	opts := &Options{IO: f.IO, Operator: f.Operator}
	cmd := &cobra.Command{
		Use:   "view <service>",
		Short: "Print a service document",
		Example: `  rattantray service view renewal-assistant
  rattantray service view renewal-assistant --defaults
  rattantray service view renewal-assistant --version 41 > old.yaml`,
		Args: exiter.ExactArgs("service"),
		RunE: func(cmd *cobra.Command, args []string) error {
			opts.Name = args[0]
			if runF != nil {
				return runF(cmd.Context(), opts)
			}
			return run(cmd.Context(), opts)
		},
	}
	cmd.Flags().Uint64Var(&opts.Version, "version", 0, "Print this `version` in place of the newest")
	cmd.Flags().BoolVar(&opts.Defaults, "defaults", false, "Fill in the defaults")
	return cmd
}

func run(ctx context.Context, opts *Options) error {
	client, err := opts.Operator()
	if err != nil {
		return err
	}
	resp, err := client.GetService(ctx, connect.NewRequest(&v1.GetServiceRequest{
		Name:      opts.Name,
		Version:   opts.Version,
		Effective: opts.Defaults,
	}))
	if err != nil {
		return err
	}
	s := resp.Msg.Service
	opts.IO.Errorf("%s\n", opts.IO.Faint(describe(s)))
	_, err = opts.IO.Out.Write(s.Document)
	return err
}
