package history

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

var fields = []string{"version", "author", "time", "deleted"}

// Options holds the dependencies and the flags of the command.
type Options struct {
	IO       *streamer.IOStreams
	Operator func() (rattantrayv1connect.OperatorServiceClient, error)
	Export   printer.Export

	Name string
}

// NewCmdHistory returns the command; runF replaces its action in tests.
func NewCmdHistory(f *maker.Factory, runF func(context.Context, *Options) error) *cobra.Command {
	opts := &Options{IO: f.IO, Operator: f.Operator}
	cmd := &cobra.Command{
		Use:   "history <service>",
		Short: "List the kept versions of a service document",
		Example: `  rattantray service history renewal-assistant
  rattantray service history renewal-assistant --json version,author`,
		Args: exiter.ExactArgs("service"),
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
	resp, err := client.History(ctx, connect.NewRequest(&v1.HistoryRequest{Name: opts.Name}))
	if err != nil {
		return err
	}
	listing := printer.Listing{Fields: fields, Empty: "No version is kept."}
	for _, s := range resp.Msg.Versions {
		listing.Rows = append(listing.Rows, printer.Row{
			"version": s.Version,
			"author":  s.Author,
			"time":    s.Time.AsTime().Format(time.RFC3339),
			"deleted": s.Deleted,
		})
	}
	return printer.Print(opts.IO, listing, opts.Export)
}
