package root

import (
	"github.com/spf13/cobra"

	"github.com/rattantray/rattantray/internal/command/dev"
	"github.com/rattantray/rattantray/internal/command/exiter"
	"github.com/rattantray/rattantray/internal/command/experiment"
	"github.com/rattantray/rattantray/internal/command/explain"
	"github.com/rattantray/rattantray/internal/command/fake"
	"github.com/rattantray/rattantray/internal/command/gateway"
	"github.com/rattantray/rattantray/internal/command/maker"
	"github.com/rattantray/rattantray/internal/command/member"
	"github.com/rattantray/rattantray/internal/command/model"
	"github.com/rattantray/rattantray/internal/command/request"
	"github.com/rattantray/rattantray/internal/command/router"
	"github.com/rattantray/rattantray/internal/command/service"
	"github.com/rattantray/rattantray/internal/command/target"
	"github.com/rattantray/rattantray/internal/command/version"
	"github.com/rattantray/rattantray/internal/command/where"
	"github.com/rattantray/rattantray/internal/setter"
)

// NewCmdRoot returns the root command with all subcommands.
func NewCmdRoot(f *maker.Factory) *cobra.Command {
	cmd := &cobra.Command{
		Use:   "rattantray <command> <subcommand> [flags]",
		Short: "Route requests over pipelines of mixed accelerators",
		Long: `Route requests over pipelines of mixed accelerators.

Every flag can also be set as an environment variable: --peer-listen as
RATTANTRAY_PEER_LISTEN. The command line goes first.`,
		Example: `  rattantray dev
  rattantray service apply -f assistant.yaml
  rattantray request send -w counter -s renewal-assistant -d 'Draft a renewal letter'`,
		SilenceErrors: true,
		SilenceUsage:  true,
		PersistentPreRunE: func(cmd *cobra.Command, _ []string) error {
			return exiter.WrapFlag(setter.BindEnvironment(cmd.Flags()))
		},
	}
	cmd.SetIn(f.IO.In)
	cmd.SetOut(f.IO.Out)
	cmd.SetErr(f.IO.Err)
	cmd.SetFlagErrorFunc(func(_ *cobra.Command, err error) error { return exiter.WrapFlag(err) })
	addGlobalFlags(cmd, f)
	cmd.AddCommand(
		dev.NewCmdDev(f, nil),
		experiment.NewCmdExperiment(f),
		explain.NewCmdExplain(f, nil),
		fake.NewCmdFake(f),
		gateway.NewCmdGateway(f),
		member.NewCmdMember(f),
		request.NewCmdRequest(f),
		router.NewCmdRouter(f),
		service.NewCmdService(f),
		target.NewCmdTarget(f),
		model.NewCmdModel(f),
		version.NewCmdVersion(f),
		where.NewCmdWhere(f, nil),
	)
	return cmd
}

func addGlobalFlags(cmd *cobra.Command, f *maker.Factory) {
	flags := cmd.PersistentFlags()
	flags.StringSliceVar(&f.Routers, "router", f.Routers, "Talk to the routers at these `addresses`")
	flags.StringVar(&f.CAFile, "ca", "", "Trust the CA certificates in this PEM `file` and speak TLS")
	flags.StringVar(&f.CertFile, "cert", "", "Present the certificate in this PEM `file`")
	flags.StringVar(&f.KeyFile, "key", "", "Use the key in this PEM `file`")
	flags.StringVar(&f.Token, "token", "", "Send this bearer `token`")
}
