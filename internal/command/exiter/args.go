package exiter

import (
	"strings"

	"github.com/spf13/cobra"
)

// NoArgs returns a FlagError if there are arguments.
func NoArgs(cmd *cobra.Command, args []string) error {
	if len(args) == 0 {
		return nil
	}
	return Flagf("unknown argument %q for %q", args[0], cmd.CommandPath())
}

// ExactArgs returns a check that accepts exactly one argument for each name.
func ExactArgs(names ...string) cobra.PositionalArgs {
	return func(_ *cobra.Command, args []string) error {
		switch {
		case len(args) < len(names):
			return Flagf("missing argument: %s", strings.Join(names[len(args):], ", "))
		case len(args) > len(names):
			return Flagf("unknown argument %q", args[len(names)])
		}
		return nil
	}
}
