package list

import (
	"context"

	"connectrpc.com/connect"
	"github.com/spf13/cobra"

	"github.com/rattantray/rattantray/internal/command/exiter"
	"github.com/rattantray/rattantray/internal/command/maker"
	"github.com/rattantray/rattantray/internal/command/printer"
	"github.com/rattantray/rattantray/internal/command/streamer"
	v1 "github.com/rattantray/rattantray/pkg/api/rattantray/v1"
	"github.com/rattantray/rattantray/pkg/api/rattantray/v1/rattantrayv1connect"
)

// Fields lists the fields of a target in the order of the columns.
var Fields = []string{"name", "state", "kind", "model", "version", "layers", "outstanding", "data-centre", "vm", "address", "checks-fencing"}

// Options holds the dependencies and the flags of the command.
type Options struct {
	IO       *streamer.IOStreams
	Operator func() (rattantrayv1connect.OperatorServiceClient, error)
	Export   printer.Export

	State string
	Model string
}

// NewCmdList returns the command; runF replaces its action in tests.
func NewCmdList(f *maker.Factory, runF func(context.Context, *Options) error) *cobra.Command {
	opts := &Options{IO: f.IO, Operator: f.Operator}
	cmd := &cobra.Command{
		Use:   "list",
		Short: "List the targets that a router knows",
		Example: `  rattantray target list
  rattantray target list --state live --model assistant
  rattantray target list --json name,outstanding --jq 'max_by(.outstanding)'`,
		Args: exiter.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			if runF != nil {
				return runF(cmd.Context(), opts)
			}
			return run(cmd.Context(), opts)
		},
	}
	cmd.Flags().StringVar(&opts.State, "state", "", "Only targets in this `state`: joining, live, suspect, leaving, dead")
	cmd.Flags().StringVar(&opts.Model, "model", "", "Only targets that hold this `model`")
	printer.AddFlags(cmd, &opts.Export, Fields)
	return cmd
}

func run(ctx context.Context, opts *Options) error {
	client, err := opts.Operator()
	if err != nil {
		return err
	}
	resp, err := client.ListTargets(ctx, connect.NewRequest(&v1.ListTargetsRequest{}))
	if err != nil {
		return err
	}
	listing := printer.Listing{Fields: Fields, Hidden: []string{"vm", "address", "checks-fencing"}, Empty: "No target is known."}
	for _, t := range resp.Msg.Targets {
		if opts.State != "" && t.State != opts.State || opts.Model != "" && t.Model != opts.Model {
			continue
		}
		listing.Rows = append(listing.Rows, Row(t))
	}
	return printer.Print(opts.IO, listing, opts.Export)
}
