package model

import (
	"github.com/spf13/cobra"

	"github.com/rattantray/rattantray/internal/command/maker"
	"github.com/rattantray/rattantray/internal/command/model/changes"
	"github.com/rattantray/rattantray/internal/command/model/list"
	"github.com/rattantray/rattantray/internal/command/model/status"
)

// NewCmdModel returns the command with its subcommands.
func NewCmdModel(f *maker.Factory) *cobra.Command {
	cmd := &cobra.Command{
		Use:   "model <command>",
		Short: "Look at models and how their layers are placed",
	}
	cmd.AddCommand(list.NewCmdList(f, nil), status.NewCmdStatus(f, nil), changes.NewCmdChanges(f, nil))
	return cmd
}
