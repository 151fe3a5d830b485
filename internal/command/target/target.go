package target

import (
	"github.com/spf13/cobra"

	"github.com/rattantray/rattantray/internal/command/maker"
	"github.com/rattantray/rattantray/internal/command/target/list"
	"github.com/rattantray/rattantray/internal/command/target/view"
)

// NewCmdTarget returns the command with its subcommands.
func NewCmdTarget(f *maker.Factory) *cobra.Command {
	cmd := &cobra.Command{
		Use:   "target <command>",
		Short: "Look at model engines and plain services",
	}
	cmd.AddCommand(list.NewCmdList(f, nil), view.NewCmdView(f, nil))
	return cmd
}
