package list

import (
	"context"
	"time"

	"connectrpc.com/connect"
	"github.com/spf13/cobra"

	"github.com/rattantray/rattantray/internal/command/exiter"
	"github.com/rattantray/rattantray/internal/command/maker"
	"github.com/rattantray/rattantray/internal/command/printer"
	"github.com/rattantray/rattantray/internal/command/streamer"
	v1 "github.com/rattantray/rattantray/pkg/api/rattantray/v1"
	"github.com/rattantray/rattantray/pkg/api/rattantray/v1/rattantrayv1connect"
)

var fields = []string{"name", "version", "author", "time", "deleted"}

// Options holds the dependencies and the flags of the command.
type Options struct {
	IO       *streamer.IOStreams
	Operator func() (rattantrayv1connect.OperatorServiceClient, error)
	Export   printer.Export

	Deleted bool
}

// NewCmdList returns the command; runF replaces its action in tests.
func NewCmdList(f *maker.Factory, runF func(context.Context, *Options) error) *cobra.Command {
	opts := &Options{IO: f.IO, Operator: f.Operator}
	cmd := &cobra.Command{
		Use:   "list",
		Short: "List the services in force",
		Example: `  rattantray service list
  rattantray service list --json name,version --jq '.[].name'`,
		Args: exiter.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			if runF != nil {
				return runF(cmd.Context(), opts)
			}
			return run(cmd.Context(), opts)
		},
	}
	cmd.Flags().BoolVar(&opts.Deleted, "deleted", false, "Include deleted services")
	printer.AddFlags(cmd, &opts.Export, fields)
	return cmd
}

func run(ctx context.Context, opts *Options) error {
	client, err := opts.Operator()
	if err != nil {
		return err
	}
	resp, err := client.ListServices(ctx, connect.NewRequest(&v1.ListServicesRequest{}))
	if err != nil {
		return err
	}
	listing := printer.Listing{Fields: fields, Hidden: []string{"deleted"}, Empty: "No service is in force. Store one with 'rattantray service apply -f FILE'."}
	for _, s := range resp.Msg.Services {
		if s.Deleted && !opts.Deleted {
			continue
		}
		listing.Rows = append(listing.Rows, printer.Row{
			"name":    s.Name,
			"version": s.Version,
			"author":  s.Author,
			"time":    s.Time.AsTime().Format(time.RFC3339),
			"deleted": s.Deleted,
		})
	}
	return printer.Print(opts.IO, listing, opts.Export)
}
