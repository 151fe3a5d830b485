package changes

import (
	"context"
	"fmt"

	"connectrpc.com/connect"
	"github.com/cockroachdb/errors"
	"github.com/spf13/cobra"

	"github.com/rattantray/rattantray/internal/command/exiter"
	"github.com/rattantray/rattantray/internal/command/maker"
	"github.com/rattantray/rattantray/internal/command/printer"
	"github.com/rattantray/rattantray/internal/command/streamer"
	v1 "github.com/rattantray/rattantray/pkg/api/rattantray/v1"
	"github.com/rattantray/rattantray/pkg/api/rattantray/v1/rattantrayv1connect"
)

var fields = []string{"target", "kind", "version", "layers", "bytes", "outcome"}

// Options holds the dependencies and the flags of the command.
type Options struct {
	IO       *streamer.IOStreams
	Operator func() (rattantrayv1connect.OperatorServiceClient, error)
	Export   printer.Export

	Name string
}

// NewCmdChanges returns the command; runF replaces its action in tests.
func NewCmdChanges(f *maker.Factory, runF func(context.Context, *Options) error) *cobra.Command {
	opts := &Options{IO: f.IO, Operator: f.Operator}
	cmd := &cobra.Command{
		Use:   "changes <model>",
		Short: "List the changes of placement that a model's planner has under way",
		Example: `  rattantray model changes assistant-70b
  rattantray model changes assistant-70b --json target,outcome`,
		Args: exiter.ExactArgs("model"),
		RunE: func(cmd *cobra.Command, args []string) error {
			opts.Name = args[0]
			if runF != nil {
				return runF(cmd.Context(), opts)
			}
			return run(cmd.Context(), opts)
		},
	}
	printer.AddFlags(cmd, &opts.Export, fields)
	return cmd
}

func run(ctx context.Context, opts *Options) error {
	client, err := opts.Operator()
	if err != nil {
		return err
	}
	resp, err := client.ModelStatus(ctx, connect.NewRequest(&v1.ModelStatusRequest{Name: opts.Name}))
	if err != nil {
		return err
	}
	if resp.Msg.Plan == nil {
		return errors.Newf("no plan of %s: %s", opts.Name, resp.Msg.PlanMissing)
	}
	listing := printer.Listing{Fields: fields, Empty: "No change is under way."}
	for _, c := range resp.Msg.Plan.Changes {
		listing.Rows = append(listing.Rows, printer.Row{
			"target":  c.Target,
			"kind":    c.Kind,
			"version": c.Version,
			"layers":  fmt.Sprintf("%d-%d", c.FirstLayer, c.EndLayer),
			"bytes":   c.Bytes,
			"outcome": c.Outcome,
		})
	}
	return printer.Print(opts.IO, listing, opts.Export)
}
