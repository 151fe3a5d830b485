package bench

import (
	"context"
	"encoding/json"
	"net/http"
	"time"

	"github.com/google/uuid"
	"github.com/spf13/cobra"

	"github.com/rattantray/rattantray/internal/bencher"
	"github.com/rattantray/rattantray/internal/command/exiter"
	"github.com/rattantray/rattantray/internal/command/maker"
	"github.com/rattantray/rattantray/internal/command/streamer"
	"github.com/rattantray/rattantray/internal/timer"
	"github.com/rattantray/rattantray/pkg/caller"
)

const ledgerTimeout = 10 * time.Second

// Options holds the dependencies and the flags of the command.
type Options struct {
	IO     *streamer.IOStreams
	Caller func() (*caller.Client, error)
	Clock  timer.Clock

	Kinds    []string
	Rate     float64
	Duration time.Duration
	WarmUp   time.Duration
	Timeout  time.Duration
	Seed     uint64
	Ledgers  []string
	Direct   []string
	JSON     bool
}

// NewCmdBench returns the command; runF replaces its action in tests.
func NewCmdBench(f *maker.Factory, runF func(context.Context, *Options) error) *cobra.Command {
	opts := &Options{IO: f.IO, Caller: f.Caller, Clock: timer.System{}}
	cmd := &cobra.Command{
		Use:   "bench",
		Short: "Load the routers in an open loop and report what came back",
		Long: `Send requests at a rate that does not depend on the answers, as a Poisson
process with a fixed seed, and report latencies, refusals and token rate.

A kind of request is written as comma-separated settings: name, workspace,
service, method, data, max-tokens, weight, once. With --ledger the report
compares what callers were told with what plain services ran, and the command
exits with 1 where a request ran twice, was falsely refused as not run, or was
lost.

With --direct the same load goes straight to targets, past the routers: kinds
with a method to plain services, the others to engines that hold a whole model.
The difference of two such reports is what the routers add.`,
		Example: `  rattantray request bench --rate 50 --duration 30s \
    --kind name=letter,workspace=counter,service=renewal-assistant,data=draft,max-tokens=32,weight=9 \
    --kind name=booking,workspace=counter,service=bookings,method='POST /bookings',once=true,weight=1 \
    --ledger http://127.0.0.1:7301/ledger
  rattantray request bench --rate 1000 --direct 127.0.0.1:7301 \
    --kind workspace=counter,service=bookings,method='GET /status/1'`,
		Args: exiter.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			if err := opts.check(); err != nil {
				return err
			}
			if runF != nil {
				return runF(cmd.Context(), opts)
			}
			return run(cmd.Context(), opts)
		},
	}
	flags := cmd.Flags()
	flags.StringArrayVar(&opts.Kinds, "kind", nil, "Send this `kind` of request; may be repeated")
	flags.Float64Var(&opts.Rate, "rate", 10, "Send this `number` of requests a second")
	flags.DurationVar(&opts.Duration, "duration", 10*time.Second, "Send for this `duration`")
	flags.DurationVar(&opts.WarmUp, "warm-up", 0, "Send for this `duration` before requests count in the figures")
	flags.DurationVar(&opts.Timeout, "timeout", time.Minute, "Deadline of each request")
	flags.Uint64Var(&opts.Seed, "seed", 1, "Seed of the arrivals")
	flags.StringArrayVar(&opts.Ledgers, "ledger", nil, "Check the answers against the ledger at this `URL`; may be repeated")
	flags.StringSliceVar(&opts.Direct, "direct", nil, "Send to the targets at these `addresses` in turn, past the routers")
	flags.BoolVar(&opts.JSON, "json", false, "Print the report as JSON")
	return cmd
}

func (o *Options) check() error {
	switch {
	case len(o.Kinds) == 0:
		return exiter.Flagf("name at least one kind of request with --kind")
	case o.Rate <= 0:
		return exiter.Flagf("--rate must be above 0")
	case o.Duration <= 0:
		return exiter.Flagf("--duration must be above 0")
	case o.WarmUp < 0:
		return exiter.Flagf("--warm-up must not be below 0")
	case o.Timeout <= 0:
		return exiter.Flagf("--timeout must be above 0")
	}
	_, err := parseKinds(o.Kinds)
	return err
}

func run(ctx context.Context, opts *Options) error {
	kinds, err := parseKinds(opts.Kinds)
	if err != nil {
		return err
	}
	send, newID, err := opts.sender()
	if err != nil {
		return err
	}
	benchmark := &bencher.Bench{
		Send:     send,
		NewID:    newID,
		Rate:     opts.Rate,
		Duration: opts.Duration,
		WarmUp:   opts.WarmUp,
		Timeout:  opts.Timeout,
		Kinds:    kinds,
		Seed:     opts.Seed,
		Clock:    opts.Clock,
	}
	if opts.IO.IsErrTTY() {
		benchmark.Progress = opts.printProgress
	}
	report := benchmark.Run(ctx)
	if benchmark.Progress != nil {
		opts.IO.Errorf("\n")
	}
	if err := opts.auditAnswers(ctx, report); err != nil {
		return err
	}
	return opts.writeReport(report)
}

func (o *Options) sender() (send bencher.SendFunc, newID func() string, err error) {
	if len(o.Direct) > 0 {
		return bencher.NewDirect(o.Direct).Send, uuid.NewString, nil
	}
	client, err := o.Caller()
	if err != nil {
		return nil, nil, err
	}
	return client.Send, client.NewRequestID, nil
}

func (o *Options) printProgress(p bencher.Progress) {
	o.IO.Errorf("\r%6s  sent %d  running %d  finished %d  refused %d   ",
		p.Elapsed.Round(time.Second), p.Sent, p.Running, p.Finished, p.Refused)
}

func (o *Options) auditAnswers(ctx context.Context, report *bencher.Report) error {
	if len(o.Ledgers) == 0 {
		return nil
	}
	// An interrupt may have cancelled ctx and ended the load early; the ledgers are still read.
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), ledgerTimeout)
	defer cancel()
	runs, err := bencher.ReadLedgers(ctx, http.DefaultClient, o.Ledgers)
	if err != nil {
		return err
	}
	report.Audit = bencher.Check(report.Results(), runs)
	return nil
}

func (o *Options) writeReport(report *bencher.Report) error {
	if o.JSON {
		enc := json.NewEncoder(o.IO.Out)
		enc.SetIndent("", "  ")
		if err := enc.Encode(report); err != nil {
			return err
		}
	} else {
		printTable(o.IO, report)
	}
	if report.Audit != nil && !report.Audit.Passed() {
		return &exiter.CodeError{Code: exiter.Error}
	}
	return nil
}
