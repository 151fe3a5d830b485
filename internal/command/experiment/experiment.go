package experiment

import (
	"github.com/spf13/cobra"

	"github.com/rattantray/rattantray/internal/command/experiment/run"
	"github.com/rattantray/rattantray/internal/command/maker"
)

// NewCmdExperiment returns the command with its subcommands.
func NewCmdExperiment(f *maker.Factory) *cobra.Command {
	cmd := &cobra.Command{
		Use:   "experiment <command>",
		Short: "Try load and trouble on modelled engines",
	}
	cmd.AddCommand(run.NewCmdRun(f, nil))
	return cmd
}
