package member

import (
	"github.com/spf13/cobra"

	"github.com/rattantray/rattantray/internal/command/maker"
	"github.com/rattantray/rattantray/internal/command/member/list"
)

// NewCmdMember returns the command with its subcommands.
func NewCmdMember(f *maker.Factory) *cobra.Command {
	cmd := &cobra.Command{
		Use:   "member <command>",
		Short: "Look at the routers of the fleet",
	}
	cmd.AddCommand(list.NewCmdList(f, nil))
	return cmd
}
