package remove

import (
	"bufio"
	"context"
	"strings"

	"connectrpc.com/connect"
	"github.com/spf13/cobra"

	"github.com/rattantray/rattantray/internal/command/exiter"
	"github.com/rattantray/rattantray/internal/command/maker"
	"github.com/rattantray/rattantray/internal/command/streamer"
	v1 "github.com/rattantray/rattantray/pkg/api/rattantray/v1"
	"github.com/rattantray/rattantray/pkg/api/rattantray/v1/rattantrayv1connect"
)

// Options holds the dependencies and the flags of the command.
type Options struct {
	IO       *streamer.IOStreams
	Operator func() (rattantrayv1connect.OperatorServiceClient, error)

	Name    string
	Version uint64
	Author  string
	Yes     bool
}

// NewCmdDelete returns the command; runF replaces its action in tests.
func NewCmdDelete(f *maker.Factory, runF func(context.Context, *Options) error) *cobra.Command {
	opts := &Options{IO: f.IO, Operator: f.Operator}
	cmd := &cobra.Command{
		Use:   "delete <service>",
		Short: "Take a service out of force",
		Long: `Store a tombstone for a service, if the stored version is the one that you saw.

Requests in progress end as usual; new ones are refused as not run.`,
		Example: `  rattantray service delete renewal-assistant --version 42
  rattantray service delete renewal-assistant --version 42 --yes`,
		Args: exiter.ExactArgs("service"),
		RunE: func(cmd *cobra.Command, args []string) error {
			opts.Name = args[0]
			if opts.Version == 0 {
				return exiter.Flagf("name the version that you saw with --version; 'rattantray service list' shows it")
			}
			if !opts.Yes && !opts.IO.IsInTTY() {
				return exiter.Flagf("--yes is required if standard input is not a terminal")
			}
			if runF != nil {
				return runF(cmd.Context(), opts)
			}
			return run(cmd.Context(), opts)
		},
	}
	cmd.Flags().Uint64Var(&opts.Version, "version", 0, "Delete only this `version`")
	cmd.Flags().StringVar(&opts.Author, "author", "", "Record this `name` in the history")
	cmd.Flags().BoolVar(&opts.Yes, "yes", false, "Do not ask")
	return cmd
}

func run(ctx context.Context, opts *Options) error {
	if !opts.Yes && !confirm(opts) {
		return context.Canceled
	}
	client, err := opts.Operator()
	if err != nil {
		return err
	}
	resp, err := client.DeleteService(ctx, connect.NewRequest(&v1.DeleteServiceRequest{
		Name:            opts.Name,
		ExpectedVersion: opts.Version,
		Author:          opts.Author,
	}))
	if err != nil {
		return err
	}
	return printResult(opts, resp.Msg)
}

func confirm(opts *Options) bool {
	opts.IO.Errorf("Delete %s? Type its name: ", opts.Name)
	line, _ := bufio.NewReader(opts.IO.In).ReadString('\n')
	return strings.TrimSpace(line) == opts.Name
}

func printResult(opts *Options, resp *v1.DeleteServiceResponse) error {
	switch resp.Result {
	case v1.ApplyResult_APPLY_RESULT_ACCEPTED:
		opts.IO.Printf("deleted at version %d\n", resp.Version)
		return nil
	case v1.ApplyResult_APPLY_RESULT_CONFLICT:
		opts.IO.Errorf("conflict: version %d is stored; %s\n", resp.Version, resp.Message)
		return &exiter.CodeError{Code: exiter.Conflict}
	case v1.ApplyResult_APPLY_RESULT_UNKNOWN:
		opts.IO.Errorf("unknown: %s\nAsk with 'rattantray service view' when the store answers again.\n", resp.Message)
		return &exiter.CodeError{Code: exiter.Uncertain}
	default:
		opts.IO.Errorf("refused: %s\n", resp.Message)
		return &exiter.CodeError{Code: exiter.Error}
	}
}
