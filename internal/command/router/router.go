package router

import (
	"github.com/spf13/cobra"

	"github.com/rattantray/rattantray/internal/command/maker"
	"github.com/rattantray/rattantray/internal/command/router/drain"
	"github.com/rattantray/rattantray/internal/command/router/start"
	"github.com/rattantray/rattantray/internal/command/router/status"
)

// NewCmdRouter returns the command with its subcommands.
func NewCmdRouter(f *maker.Factory) *cobra.Command {
	cmd := &cobra.Command{
		Use:   "router <command>",
		Short: "Run, drain and look at routers",
	}
	cmd.AddCommand(drain.NewCmdDrain(f, nil), start.NewCmdStart(f, nil), status.NewCmdStatus(f, nil))
	return cmd
}
