package service

import (
	"github.com/spf13/cobra"

	"github.com/rattantray/rattantray/internal/command/maker"
	"github.com/rattantray/rattantray/internal/command/service/apply"
	"github.com/rattantray/rattantray/internal/command/service/diff"
	"github.com/rattantray/rattantray/internal/command/service/history"
	"github.com/rattantray/rattantray/internal/command/service/list"
	"github.com/rattantray/rattantray/internal/command/service/remove"
	"github.com/rattantray/rattantray/internal/command/service/schema"
	"github.com/rattantray/rattantray/internal/command/service/status"
	"github.com/rattantray/rattantray/internal/command/service/view"
)

// NewCmdService returns the command with its subcommands.
func NewCmdService(f *maker.Factory) *cobra.Command {
	cmd := &cobra.Command{
		Use:   "service <command>",
		Short: "Work with service documents",
	}
	cmd.AddCommand(
		apply.NewCmdApply(f, nil),
		diff.NewCmdDiff(f, nil),
		history.NewCmdHistory(f, nil),
		list.NewCmdList(f, nil),
		remove.NewCmdDelete(f, nil),
		schema.NewCmdSchema(f, nil),
		status.NewCmdStatus(f, nil),
		view.NewCmdView(f, nil),
	)
	return cmd
}
