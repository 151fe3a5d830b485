package request

import (
	"github.com/spf13/cobra"

	"github.com/rattantray/rattantray/internal/command/maker"
	"github.com/rattantray/rattantray/internal/command/request/bench"
	"github.com/rattantray/rattantray/internal/command/request/get"
	"github.com/rattantray/rattantray/internal/command/request/send"
)

// NewCmdRequest returns the command with its subcommands.
func NewCmdRequest(f *maker.Factory) *cobra.Command {
	cmd := &cobra.Command{
		Use:   "request <command>",
		Short: "Send requests and ask for outcomes",
	}
	cmd.AddCommand(bench.NewCmdBench(f, nil), get.NewCmdGet(f, nil), send.NewCmdSend(f, nil))
	return cmd
}
