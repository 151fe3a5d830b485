package schema

import (
	"context"

	"github.com/spf13/cobra"

	"github.com/rattantray/rattantray/internal/command/exiter"
	"github.com/rattantray/rattantray/internal/command/maker"
	"github.com/rattantray/rattantray/internal/command/streamer"
	"github.com/rattantray/rattantray/internal/documenter"
)

// Options holds the dependencies of the command.
type Options struct {
	IO *streamer.IOStreams
}

// NewCmdSchema returns the command; runF replaces its action in tests.
func NewCmdSchema(f *maker.Factory, runF func(context.Context, *Options) error) *cobra.Command {
	opts := &Options{IO: f.IO}
	return &cobra.Command{
		Use:     "schema",
		Short:   "Print the JSON schema of service documents",
		Example: `  rattantray service schema > service.schema.json`,
		Args:    exiter.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			if runF != nil {
				return runF(cmd.Context(), opts)
			}
			return run(opts)
		},
	}
}

func run(opts *Options) error {
	_, err := opts.IO.Out.Write(append(documenter.Schema(), '\n'))
	return err
}
