package apply

import (
	"context"
	"io"
	"os"
	"os/user"

	"connectrpc.com/connect"
	"github.com/spf13/cobra"

	"github.com/rattantray/rattantray/internal/command/exiter"
	"github.com/rattantray/rattantray/internal/command/maker"
	"github.com/rattantray/rattantray/internal/command/streamer"
	"github.com/rattantray/rattantray/internal/documenter"
	v1 "github.com/rattantray/rattantray/pkg/api/rattantray/v1"
	"github.com/rattantray/rattantray/pkg/api/rattantray/v1/rattantrayv1connect"
	"github.com/rattantray/rattantray/pkg/refuser"
)

// Options holds the dependencies and the flags of the command.
type Options struct {
	IO       *streamer.IOStreams
	Operator func() (rattantrayv1connect.OperatorServiceClient, error)
	ReadFile func(name string) ([]byte, error)

	File    string
	Author  string
	Version uint64
	// HasVersion is true if --version was given.
	HasVersion bool
	DryRun     bool
}

// NewCmdApply returns the command; runF replaces its action in tests.
func NewCmdApply(f *maker.Factory, runF func(context.Context, *Options) error) *cobra.Command {
	opts := &Options{IO: f.IO, Operator: f.Operator, ReadFile: os.ReadFile}
	cmd := &cobra.Command{
		Use:   "apply",
		Short: "Store a service document and bring the fleet in line with it",
		Long: `Store a service document if the stored version is the one that you saw.

Without --version the newest version is read first; where another operator
stores a version in between, the command reports a conflict and the difference.`,
		Example: `  rattantray service apply -f assistant.yaml
  rattantray service apply -f assistant.yaml --version 42
  rattantray service apply -f - --dry-run < assistant.yaml`,
		Args: exiter.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			if opts.File == "" {
				return exiter.Flagf("name the document with --file, or - for standard input")
			}
			opts.HasVersion = cmd.Flags().Changed("version")
			if runF != nil {
				return runF(cmd.Context(), opts)
			}
			return run(cmd.Context(), opts)
		},
	}
	cmd.Flags().StringVarP(&opts.File, "file", "f", "", "Read the document from `path`, or - for standard input")
	cmd.Flags().Uint64Var(&opts.Version, "version", 0, "Store only over this `version`; 0 creates only")
	cmd.Flags().StringVar(&opts.Author, "author", currentUser(), "Record this `name` in the history")
	cmd.Flags().BoolVar(&opts.DryRun, "dry-run", false, "Check the document and store nothing")
	return cmd
}

func currentUser() string {
	if u, err := user.Current(); err == nil {
		return u.Username
	}
	return "unknown"
}

func run(ctx context.Context, opts *Options) error {
	document, err := readDocument(opts)
	if err != nil {
		return err
	}
	client, err := opts.Operator()
	if err != nil {
		return err
	}
	req := &v1.ApplyRequest{Document: document, Author: opts.Author, DryRun: opts.DryRun}
	expected := opts.Version
	if !opts.HasVersion {
		if expected, err = newestVersion(ctx, client, document); err != nil {
			return err
		}
	}
	req.ExpectedVersion = &expected
	resp, err := client.Apply(ctx, connect.NewRequest(req))
	if err != nil {
		return err
	}
	return printResult(opts, resp.Msg)
}

// newestVersion returns the newest stored version of the service that a document describes, or 0 if there is none.
func newestVersion(ctx context.Context, client rattantrayv1connect.OperatorServiceClient, document []byte) (uint64, error) {
	parsed, problems := documenter.Parse(document)
	if len(problems) > 0 {
		// The router reports the problems when the document is applied.
		return 0, nil
	}
	resp, err := client.GetService(ctx, connect.NewRequest(&v1.GetServiceRequest{Name: parsed.Name}))
	if err != nil {
		if refuser.From(err).Code == refuser.ServiceNotFound {
			return 0, nil
		}
		return 0, err
	}
	return resp.Msg.Service.Version, nil
}

func readDocument(opts *Options) ([]byte, error) {
	if opts.File == "-" {
		return io.ReadAll(opts.IO.In)
	}
	document, err := opts.ReadFile(opts.File)
	if err != nil {
		return nil, exiter.Flagf("read the document: %s", err)
	}
	return document, nil
}

func printResult(opts *Options, resp *v1.ApplyResponse) error {
	s := opts.IO
	switch resp.Result {
	case v1.ApplyResult_APPLY_RESULT_ACCEPTED:
		if opts.DryRun {
			s.Printf("%s the document is valid; nothing was stored\n", s.Green("ok"))
			return nil
		}
		s.Printf("%s version %d\n", s.Green("accepted"), resp.Version)
		return nil
	case v1.ApplyResult_APPLY_RESULT_REFUSED:
		s.Errorf("%s: the document has errors\n", s.Red("refused"))
		for _, p := range resp.Problems {
			s.Errorf("  %s:%d: %s: %s\n", opts.File, p.Line, p.Path, p.Message)
		}
		if len(resp.Problems) == 0 {
			s.Errorf("  %s\n", resp.Message)
		}
		return &exiter.CodeError{Code: exiter.Error}
	case v1.ApplyResult_APPLY_RESULT_CONFLICT:
		s.Errorf("%s: version %d is stored; %s\n%s", s.Red("conflict"), resp.Version, resp.Message, resp.Difference)
		s.Errorf("Merge the difference into the document and apply again with --version %d.\n", resp.Version)
		return &exiter.CodeError{Code: exiter.Conflict}
	default:
		s.Errorf("%s: %s\n", s.Red("unknown"), resp.Message)
		s.Errorf("Ask with 'rattantray service view' when the store answers again.\n")
		return &exiter.CodeError{Code: exiter.Uncertain}
	}
}
