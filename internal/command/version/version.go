package version

import (
	"runtime"

	"github.com/spf13/cobra"

	"github.com/rattantray/rattantray/internal/command/exiter"
	"github.com/rattantray/rattantray/internal/command/maker"
)

// NewCmdVersion returns the command.
func NewCmdVersion(f *maker.Factory) *cobra.Command {
	return &cobra.Command{
		Use:     "version",
		Short:   "Print the version",
		Example: `  rattantray version`,
		Args:    exiter.NoArgs,
		RunE: func(*cobra.Command, []string) error {
			f.IO.Printf("rattantray %s %s %s/%s\n", f.Release, runtime.Version(), runtime.GOOS, runtime.GOARCH)
			return nil
		},
	}
}
