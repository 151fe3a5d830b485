package list

import (
	"context"
	"strings"

	"connectrpc.com/connect"
	"github.com/spf13/cobra"

	"github.com/rattantray/rattantray/internal/command/exiter"
	"github.com/rattantray/rattantray/internal/command/maker"
	"github.com/rattantray/rattantray/internal/command/printer"
	"github.com/rattantray/rattantray/internal/command/streamer"
	v1 "github.com/rattantray/rattantray/pkg/api/rattantray/v1"
	"github.com/rattantray/rattantray/pkg/api/rattantray/v1/rattantrayv1connect"
)

var fields = []string{"name", "version", "layers", "targets", "bound", "services"}

// Options holds the dependencies and the flags of the command.
type Options struct {
	IO       *streamer.IOStreams
	Operator func() (rattantrayv1connect.OperatorServiceClient, error)
	Export   printer.Export
}

// NewCmdList returns the command; runF replaces its action in tests.
func NewCmdList(f *maker.Factory, runF func(context.Context, *Options) error) *cobra.Command {
	opts := &Options{IO: f.IO, Operator: f.Operator}
	cmd := &cobra.Command{
		Use:   "list",
		Short: "List the models that services in force run",
		Example: `  rattantray model list
  rattantray model list --json name,bound --jq '.[] | select(.bound == 0)'`,
		Args: exiter.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
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
	resp, err := client.ListModels(ctx, connect.NewRequest(&v1.ListModelsRequest{}))
	if err != nil {
		return err
	}
	listing := printer.Listing{Fields: fields, Empty: "No service in force runs a model."}
	for _, m := range resp.Msg.Models {
		listing.Rows = append(listing.Rows, printer.Row{
			"name":     m.Name,
			"version":  m.Version,
			"layers":   m.Layers,
			"targets":  m.Targets,
			"bound":    printer.RoundRate(m.Bound),
			"services": strings.Join(m.Services, ","),
		})
	}
	return printer.Print(opts.IO, listing, opts.Export)
}
