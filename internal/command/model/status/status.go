package status

import (
	"context"
	"strings"
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

var fields = []string{"version", "wanted", "targets", "loading", "bound", "services"}

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
		Use:   "status <model>",
		Short: "Show how far the targets of a model are in line with its services",
		Example: `  rattantray model status assistant-70b
  rattantray model status assistant-70b --json version,bound --jq '.[] | select(.version == "v2").bound'`,
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
	if len(opts.Export.JSON) == 0 {
		printSummary(opts.IO, resp.Msg)
	}
	return printer.Print(opts.IO, newListing(resp.Msg), opts.Export)
}

func newListing(msg *v1.ModelStatusResponse) printer.Listing {
	l := printer.Listing{Fields: fields}
	for _, v := range msg.Versions {
		l.Rows = append(l.Rows, printer.Row{
			"version":  v.Version,
			"wanted":   v.Version == msg.Model.Version,
			"targets":  v.Targets,
			"loading":  v.Loading,
			"bound":    printer.RoundRate(v.Bound),
			"services": strings.Join(v.Services, ","),
		})
	}
	return l
}

// printSummary prints the state of the plan and the conditions that need an operator's attention.
func printSummary(io *streamer.IOStreams, msg *v1.ModelStatusResponse) {
	io.Printf("%s: version %s wanted, %d layers\n", msg.Model.Name, msg.Model.Version, msg.Model.Layers)
	if inUse := versionsInUse(msg.Versions); len(inUse) > 1 {
		io.Printf("services name versions %s; the one accepted last counts\n", strings.Join(inUse, ", "))
	}
	if msg.Plan == nil {
		io.Printf("no plan: %s\n", msg.PlanMissing)
		return
	}
	p := msg.Plan
	io.Printf("planned by %s %s ago: bound %v of at most %v tokens/s, %v to be kept free for the load\n",
		p.Member, p.Age.AsDuration().Round(100*time.Millisecond), printer.RoundRate(p.Bound), printer.RoundRate(p.Upper), printer.RoundRate(p.Offered))
	if len(p.Changes) > 0 {
		io.Printf("%d changes under way; 'rattantray model changes %s' lists them\n", len(p.Changes), msg.Model.Name)
	}
	if p.Blocked != "" {
		io.Printf("waiting: %s\n", p.Blocked)
	}
}

func versionsInUse(versions []*v1.ModelVersion) []string {
	var inUse []string
	for _, v := range versions {
		if len(v.Services) > 0 {
			inUse = append(inUse, v.Version)
		}
	}
	return inUse
}
