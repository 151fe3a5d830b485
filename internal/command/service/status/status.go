package status

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

var fields = []string{"member", "data-centre", "version", "answered"}

// Options holds the dependencies and the flags of the command.
type Options struct {
	IO       *streamer.IOStreams
	Operator func() (rattantrayv1connect.OperatorServiceClient, error)
	Export   printer.Export

	Name string
}

// NewCmdStatus returns the command; runF replaces its action in tests.
func NewCmdStatus(f *maker.Factory, runF func(context.Context, *Options) error) *cobra.Command {
	opts := &Options{IO: f.IO, Operator: f.Operator}
	cmd := &cobra.Command{
		Use:   "status <service>",
		Short: "Show on how many routers the newest version is in force, and which lag",
		Example: `  rattantray service status renewal-assistant
  rattantray service status renewal-assistant --json member,version`,
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
	resp, err := client.Status(ctx, connect.NewRequest(&v1.StatusRequest{Name: opts.Name}))
	if err != nil {
		return err
	}
	listing := printer.Listing{Fields: fields}
	for _, m := range resp.Msg.Lagging {
		listing.Rows = append(listing.Rows, printer.Row{
			"member":      m.Member,
			"data-centre": m.DataCentre,
			"version":     m.Version,
			"answered":    m.Answered,
		})
	}
	if len(opts.Export.JSON) == 0 {
		opts.IO.Printf("%s version %d in force on %d of %d routers\n", resp.Msg.Name, resp.Msg.Version, resp.Msg.InForce, resp.Msg.Members)
		if len(listing.Rows) == 0 {
			return nil
		}
		opts.IO.Printf("lagging:\n")
	}
	return printer.Print(opts.IO, listing, opts.Export)
}
