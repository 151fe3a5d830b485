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

var fields = []string{"name", "state", "data-centre", "address", "last-heard", "peer-address", "incarnation"}

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
		Short: "List the routers as one of them sees them",
		Example: `  rattantray member list
  rattantray member list --router 127.0.0.1:7071 --json name,state`,
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
	resp, err := client.ListMembers(ctx, connect.NewRequest(&v1.ListMembersRequest{}))
	if err != nil {
		return err
	}
	listing := printer.Listing{Fields: fields, Hidden: []string{"peer-address", "incarnation"}, Empty: "No member is known."}
	for _, m := range resp.Msg.Members {
		listing.Rows = append(listing.Rows, printer.Row{
			"name":         m.Name,
			"state":        m.State,
			"data-centre":  m.DataCentre,
			"address":      m.Address,
			"last-heard":   m.LastHeard.AsDuration().Round(time.Millisecond).String(),
			"peer-address": m.PeerAddress,
			"incarnation":  m.Incarnation,
		})
	}
	return printer.Print(opts.IO, listing, opts.Export)
}
