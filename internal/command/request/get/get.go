package get

import (
	"context"
	"encoding/hex"
	"strings"

	"github.com/spf13/cobra"

	"github.com/rattantray/rattantray/internal/command/exiter"
	"github.com/rattantray/rattantray/internal/command/maker"
	"github.com/rattantray/rattantray/internal/command/printer"
	"github.com/rattantray/rattantray/internal/command/streamer"
	v1 "github.com/rattantray/rattantray/pkg/api/rattantray/v1"
	"github.com/rattantray/rattantray/pkg/caller"
)

var fields = []string{"request-id", "outcome", "data", "answer-digest", "http-status"}

// Options holds the dependencies and the flags of the command.
type Options struct {
	IO     *streamer.IOStreams
	Caller func() (*caller.Client, error)
	Export printer.Export

	Workspace string
	RequestID string
}

// NewCmdGet returns the command; runF replaces its action in tests.
func NewCmdGet(f *maker.Factory, runF func(context.Context, *Options) error) *cobra.Command {
	opts := &Options{IO: f.IO, Caller: f.Caller}
	cmd := &cobra.Command{
		Use:   "get <request-id>",
		Short: "Show how an earlier request ended",
		Long: `Show the kept outcome of an earlier request that may run only once.

Exits with 4 where the request may have run.`,
		Example: `  rattantray request get --workspace counter booking-4711`,
		Args:    exiter.ExactArgs("request-id"),
		RunE: func(cmd *cobra.Command, args []string) error {
			opts.RequestID = args[0]
			if opts.Workspace == "" {
				return exiter.Flagf("name the workspace with --workspace")
			}
			if runF != nil {
				return runF(cmd.Context(), opts)
			}
			return run(cmd.Context(), opts)
		},
	}
	cmd.Flags().StringVarP(&opts.Workspace, "workspace", "w", "", "Ask in this `workspace`")
	printer.AddFlags(cmd, &opts.Export, fields)
	return cmd
}

func run(ctx context.Context, opts *Options) error {
	client, err := opts.Caller()
	if err != nil {
		return err
	}
	resp, err := client.Get(ctx, opts.Workspace, opts.RequestID)
	if err != nil {
		return err
	}
	if err := printOutcome(opts, resp); err != nil {
		return err
	}
	if resp.Outcome == v1.Outcome_OUTCOME_MAY_HAVE_RUN {
		return &exiter.CodeError{Code: exiter.MayHaveRun}
	}
	return nil
}

func printOutcome(opts *Options, resp *v1.GetResponse) error {
	outcome := outcomeName(resp.Outcome)
	if len(opts.Export.JSON) > 0 {
		row := printer.Row{
			"request-id":    resp.RequestId,
			"outcome":       outcome,
			"data":          string(resp.Data),
			"answer-digest": hex.EncodeToString(resp.AnswerDigest),
			"http-status":   resp.HttpStatus,
		}
		return printer.Print(opts.IO, printer.Listing{Fields: fields, Rows: []printer.Row{row}}, opts.Export)
	}
	opts.IO.Printf("%s\n", outcome)
	if len(resp.Data) > 0 {
		opts.IO.Printf("%s\n", resp.Data)
	}
	return nil
}

func outcomeName(o v1.Outcome) string {
	name := strings.TrimPrefix(o.String(), "OUTCOME_")
	return strings.ReplaceAll(strings.ToLower(name), "_", "-")
}
