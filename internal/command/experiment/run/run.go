package run

import (
	"math"
	"os"

	"github.com/cockroachdb/errors"
	"github.com/schollz/progressbar/v3"
	"github.com/spf13/cobra"

	"github.com/rattantray/rattantray/internal/command/exiter"
	"github.com/rattantray/rattantray/internal/command/maker"
	"github.com/rattantray/rattantray/internal/command/printer"
	"github.com/rattantray/rattantray/internal/command/streamer"
	"github.com/rattantray/rattantray/internal/experimenter"
)

var fields = []string{"policy", "served", "on-time", "refused", "failed", "first-p50-ms", "first-p99-ms", "step-p50-ms", "step-p99-ms"}

// Options holds the dependencies and the flags of the command.
type Options struct {
	IO     *streamer.IOStreams
	Export printer.Export

	File string
	// Page is the file that receives the report as HTML; if empty, none is written.
	Page string
}

// NewCmdRun returns the command; runF replaces its action in tests.
func NewCmdRun(f *maker.Factory, runF func(*Options) error) *cobra.Command {
	opts := &Options{IO: f.IO}
	cmd := &cobra.Command{
		Use:   "run <file>",
		Short: "Run an experiment",
		Long: `Play the load and the troubles of a scenario on modelled engines, in virtual
time, under each of its policies and seeds, and compare the policies.

The product's policy is the code that gateways run: placement, choice of paths
and repair. Engines are modelled; daemons and their network are not.`,
		Example: `  rattantray experiment run docs/examples/experiments/burst.yaml
  rattantray experiment run docs/examples/experiments/stage-lost.yaml --page report.html`,
		Args: exiter.ExactArgs("file"),
		RunE: func(_ *cobra.Command, args []string) error {
			opts.File = args[0]
			if runF != nil {
				return runF(opts)
			}
			return run(opts)
		},
	}
	cmd.Flags().StringVar(&opts.Page, "page", "", "Write the report with plots to this HTML `file`")
	printer.AddFlags(cmd, &opts.Export, fields)
	return cmd
}

func run(opts *Options) error {
	file, err := os.Open(opts.File)
	if err != nil {
		return exiter.WrapFlag(err)
	}
	defer func() { _ = file.Close() }()
	scenario, err := experimenter.Parse(file)
	if err != nil {
		return exiter.WrapFlag(errors.Wrapf(err, "%s", opts.File))
	}
	bar := progressbar.NewOptions(len(scenario.Seeds)*len(scenario.Policies),
		progressbar.OptionSetWriter(opts.IO.Err), progressbar.OptionSetDescription(scenario.Name), progressbar.OptionClearOnFinish())
	report := experimenter.Run(scenario, func() { _ = bar.Add(1) })
	if opts.Page != "" {
		if err := writePage(report, opts.Page); err != nil {
			return err
		}
	}
	return printReport(opts, report)
}

// roundShare rounds a share to three decimal places.
func roundShare(x float64) float64 { return math.Round(1000*x) / 1000 }

func writePage(report *experimenter.Report, name string) error {
	file, err := os.Create(name)
	if err != nil {
		return errors.Wrap(err, "create the report page")
	}
	if err := report.WriteHTML(file); err != nil {
		_ = file.Close()
		return err
	}
	return file.Close()
}

func printReport(opts *Options, report *experimenter.Report) error {
	var rows []printer.Row
	for _, m := range report.Means() {
		rows = append(rows, printer.Row{
			"policy": m.Policy, "served": roundShare(m.Served), "on-time": roundShare(m.OnTime),
			"refused": printer.RoundRate(m.Refused), "failed": printer.RoundRate(m.Failed),
			"first-p50-ms": printer.RoundRate(m.FirstP50), "first-p99-ms": printer.RoundRate(m.FirstP99),
			"step-p50-ms": printer.RoundRate(m.StepP50), "step-p99-ms": printer.RoundRate(m.StepP99),
		})
	}
	return printer.Print(opts.IO, printer.Listing{Fields: fields, Rows: rows}, opts.Export)
}
