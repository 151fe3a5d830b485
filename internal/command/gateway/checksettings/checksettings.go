package checksettings

import (
	"github.com/spf13/cobra"

	"github.com/rattantray/rattantray/internal/command/exiter"
	"github.com/rattantray/rattantray/internal/command/maker"
	"github.com/rattantray/rattantray/internal/command/streamer"
	"github.com/rattantray/rattantray/platform"
)

// Options holds the dependencies and the flags of the command.
type Options struct {
	IO   *streamer.IOStreams
	File string
}

// NewCmdCheckSettings returns the command; runF replaces its action in tests.
func NewCmdCheckSettings(f *maker.Factory, runF func(*Options) error) *cobra.Command {
	opts := &Options{IO: f.IO}
	cmd := &cobra.Command{
		Use:   "check-settings <file>",
		Short: "Check a settings file of the platform",
		Long: `Check a settings file of the platform as gateway start does.

Names every field that is not accepted, with the accepted values, and exits
with 2 if there is one. Fields that the gateway does not use are ignored.`,
		Example: `  rattantray gateway check-settings /etc/rattantray/settings.toml`,
		Args:    exiter.ExactArgs("file"),
		RunE: func(_ *cobra.Command, args []string) error {
			opts.File = args[0]
			if runF != nil {
				return runF(opts)
			}
			return run(opts)
		},
	}
	return cmd
}

func run(opts *Options) error {
	s, err := platform.ReadSettings(opts.File)
	if err != nil {
		return exiter.WrapFlag(err)
	}
	g := s.Gateway()
	opts.IO.Printf("%s in %s serves clients on %s and peers on %s\n", g.Name, g.DataCentre, g.ClientListen, g.PeerListen)
	return nil
}
