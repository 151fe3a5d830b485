package gateway

import (
	"github.com/spf13/cobra"

	"github.com/rattantray/rattantray/internal/command/gateway/checksettings"
	"github.com/rattantray/rattantray/internal/command/gateway/start"
	"github.com/rattantray/rattantray/internal/command/maker"
)

// NewCmdGateway returns the command with its subcommands.
func NewCmdGateway(f *maker.Factory) *cobra.Command {
	cmd := &cobra.Command{
		Use:   "gateway <command>",
		Short: "Run gateways on the platform and check their settings",
	}
	cmd.AddCommand(checksettings.NewCmdCheckSettings(f, nil), start.NewCmdStart(f, nil))
	return cmd
}
