package diff

import (
	"context"
	"os"

	"connectrpc.com/connect"
	"github.com/spf13/cobra"

	"github.com/rattantray/rattantray/internal/command/exiter"
	"github.com/rattantray/rattantray/internal/command/maker"
	"github.com/rattantray/rattantray/internal/command/streamer"
	"github.com/rattantray/rattantray/internal/documenter"
	v1 "github.com/rattantray/rattantray/pkg/api/rattantray/v1"
	"github.com/rattantray/rattantray/pkg/api/rattantray/v1/rattantrayv1connect"
)

// Options holds the dependencies and the flags of the command.
type Options struct {
	IO       *streamer.IOStreams
	Operator func() (rattantrayv1connect.OperatorServiceClient, error)
	ReadFile func(name string) ([]byte, error)

	Name string
	File string
	From uint64
	To   uint64
}

// NewCmdDiff returns the command; runF replaces its action in tests.
func NewCmdDiff(f *maker.Factory, runF func(context.Context, *Options) error) *cobra.Command {
	opts := &Options{IO: f.IO, Operator: f.Operator, ReadFile: os.ReadFile}
	cmd := &cobra.Command{
		Use:   "diff <service>",
		Short: "Show what differs between versions of a service document, or a file",
		Long: `Show what differs between two stored versions, or between a stored version and a file.

Exits with 1 where there is a difference.`,
		Example: `  rattantray service diff renewal-assistant -f assistant.yaml
  rattantray service diff renewal-assistant --from 41 --to 42`,
		Args: exiter.ExactArgs("service"),
		RunE: func(cmd *cobra.Command, args []string) error {
			opts.Name = args[0]
			if opts.File == "" && opts.From == 0 {
				return exiter.Flagf("name a file with --file or a version with --from")
			}
			if opts.File != "" && opts.To != 0 {
				return exiter.Flagf("--file and --to exclude each other")
			}
			if runF != nil {
				return runF(cmd.Context(), opts)
			}
			return run(cmd.Context(), opts)
		},
	}
	cmd.Flags().StringVarP(&opts.File, "file", "f", "", "Compare with the document at `path`")
	cmd.Flags().Uint64Var(&opts.From, "from", 0, "Compare from this stored `version`; 0 is the newest")
	cmd.Flags().Uint64Var(&opts.To, "to", 0, "Compare to this stored `version`; 0 is the newest")
	return cmd
}

func run(ctx context.Context, opts *Options) error {
	from, err := storedDocument(ctx, opts, opts.From)
	if err != nil {
		return err
	}
	to, err := comparedDocument(ctx, opts)
	if err != nil {
		return err
	}
	difference := documenter.Diff(from, to)
	if difference == "" {
		return nil
	}
	opts.IO.Printf("%s", difference)
	return &exiter.CodeError{Code: exiter.Error}
}

func comparedDocument(ctx context.Context, opts *Options) (*documenter.Document, error) {
	if opts.File == "" {
		return storedDocument(ctx, opts, opts.To)
	}
	raw, err := opts.ReadFile(opts.File)
	if err != nil {
		return nil, exiter.Flagf("read the document: %s", err)
	}
	return parseDocument(opts.File, raw)
}

func storedDocument(ctx context.Context, opts *Options, version uint64) (*documenter.Document, error) {
	client, err := opts.Operator()
	if err != nil {
		return nil, err
	}
	resp, err := client.GetService(ctx, connect.NewRequest(&v1.GetServiceRequest{Name: opts.Name, Version: version}))
	if err != nil {
		return nil, err
	}
	return parseDocument(opts.Name, resp.Msg.Service.Document)
}

func parseDocument(name string, raw []byte) (*documenter.Document, error) {
	doc, problems := documenter.Parse(raw)
	if len(problems) > 0 {
		return nil, exiter.Flagf("%s:%d: %s: %s", name, problems[0].Line, problems[0].Path, problems[0].Message)
	}
	return doc, nil
}
