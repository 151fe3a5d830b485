package status

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

var fields = []string{"member", "state", "ready", "data-centre", "incarnation", "release", "in-progress", "uptime", "config-version", "store-available", "services"}

// Options holds the dependencies and the flags of the command.
type Options struct {
	IO       *streamer.IOStreams
	Operator func() (rattantrayv1connect.OperatorServiceClient, error)
	Export   printer.Export
}

// NewCmdStatus returns the command; runF replaces its action in tests.
func NewCmdStatus(f *maker.Factory, runF func(context.Context, *Options) error) *cobra.Command {
	opts := &Options{IO: f.IO, Operator: f.Operator}
	cmd := &cobra.Command{
		Use:   "status",
		Short: "Show the state of one router",
		Example: `  rattantray router status
  rattantray router status --json state,in-progress --jq '.[0].state'`,
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
	resp, err := client.RouterStatus(ctx, connect.NewRequest(&v1.RouterStatusRequest{}))
	if err != nil {
		return err
	}
	row := toRow(resp.Msg)
	if len(opts.Export.JSON) > 0 {
		return printer.Print(opts.IO, printer.Listing{Fields: fields, Rows: []printer.Row{row}}, opts.Export)
	}
	for _, field := range fields {
		if field != "services" {
			opts.IO.Printf("%s:\t%v\n", field, row[field])
		}
	}
	for _, s := range resp.Msg.Services {
		opts.IO.Printf("service %s:\t%s\n", s.Name, formatState(s))
	}
	return nil
}

func toRow(r *v1.RouterStatusResponse) printer.Row {
	services := map[string]string{}
	for _, s := range r.Services {
		services[s.Name] = formatState(s)
	}
	return printer.Row{
		"member":          r.Member,
		"state":           r.State,
		"ready":           r.Ready,
		"data-centre":     r.DataCentre,
		"incarnation":     r.Incarnation,
		"release":         r.Release,
		"in-progress":     r.InProgress,
		"uptime":          r.Uptime.AsDuration().Round(time.Second).String(),
		"config-version":  r.ConfigVersion,
		"store-available": r.StoreAvailable,
		"services":        services,
	}
}

func formatState(s *v1.ServiceState) string {
	if s.Error == "" {
		return s.State
	}
	return s.State + ": " + s.Error
}
