package view

import (
	"context"

	"connectrpc.com/connect"
	"github.com/spf13/cobra"

	"github.com/rattantray/rattantray/internal/command/exiter"
	"github.com/rattantray/rattantray/internal/command/maker"
	"github.com/rattantray/rattantray/internal/command/printer"
	"github.com/rattantray/rattantray/internal/command/streamer"
	"github.com/rattantray/rattantray/internal/command/target/list"
	v1 "github.com/rattantray/rattantray/pkg/api/rattantray/v1"
	"github.com/rattantray/rattantray/pkg/api/rattantray/v1/rattantrayv1connect"
)

// Options holds the dependencies and the flags of the command.
type Options struct {
	IO       *streamer.IOStreams
	Operator func() (rattantrayv1connect.OperatorServiceClient, error)
	Export   printer.Export

	Name string
}

// NewCmdView returns the command; runF replaces its action in tests.
func NewCmdView(f *maker.Factory, runF func(context.Context, *Options) error) *cobra.Command {
	opts := &Options{IO: f.IO, Operator: f.Operator}
	cmd := &cobra.Command{
		Use:     "view <target>",
		Short:   "Show one target",
		Example: `  rattantray target view engine-1`,
		Args:    exiter.ExactArgs("target"),
		RunE: func(cmd *cobra.Command, args []string) error {
			opts.Name = args[0]
			if runF != nil {
				return runF(cmd.Context(), opts)
			}
			return run(cmd.Context(), opts)
		},
	}
	printer.AddFlags(cmd, &opts.Export, list.Fields)
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
	found := printer.Listing{Fields: list.Fields}
	for _, t := range resp.Msg.Targets {
		if t.Name == opts.Name {
			found.Rows = append(found.Rows, list.Row(t))
		}
	}
	if len(found.Rows) == 0 {
		return exiter.Flagf("no target %q; 'rattantray target list' shows the names", opts.Name)
	}
	if len(opts.Export.JSON) > 0 {
		return printer.Print(opts.IO, found, opts.Export)
	}
	for _, row := range found.Rows {
		for _, field := range list.Fields {
			opts.IO.Printf("%s:\t%v\n", field, row[field])
		}
	}
	return nil
}
