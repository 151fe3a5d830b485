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

// Options holds what the command depends on and its flags.
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
	got, err := client.Get(ctx, opts.Workspace, opts.RequestID)
	if err != nil {
		return err
	}
	if err := show(opts, got); err != nil {
		return err
	}
	if got.Outcome == v1.Outcome_OUTCOME_MAY_HAVE_RUN {
		return &exiter.CodeError{Code: exiter.MayHaveRun}
	}
	return nil
}

func show(opts *Options, got *v1.GetResponse) error {
	outcome := outcomeName(got.Outcome)
	if len(opts.Export.JSON) > 0 {
		row := printer.Row{
			"request-id":    got.RequestId,
			"outcome":       outcome,
			"data":          string(got.Data),
			"answer-digest": hex.EncodeToString(got.AnswerDigest),
			"http-status":   got.HttpStatus,
		}
		return printer.Print(opts.IO, printer.Listing{Fields: fields, Rows: []printer.Row{row}}, opts.Export)
	}
	opts.IO.Printf("%s\n", outcome)
	if len(got.Data) > 0 {
		opts.IO.Printf("%s\n", got.Data)
	}
	return nil
}

func outcomeName(o v1.Outcome) string {
	name := strings.TrimPrefix(o.String(), "OUTCOME_")
	return strings.ReplaceAll(strings.ToLower(name), "_", "-")
}
