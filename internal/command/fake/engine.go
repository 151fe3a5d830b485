package fake

import (
	"context"
	"fmt"
	"time"

	"github.com/spf13/cobra"

	"github.com/rattantray/rattantray/internal/cataloger"
	"github.com/rattantray/rattantray/internal/command/exiter"
	"github.com/rattantray/rattantray/internal/command/maker"
	"github.com/rattantray/rattantray/internal/command/streamer"
	"github.com/rattantray/rattantray/internal/engineer"
	"github.com/rattantray/rattantray/internal/enginefaker"
	"github.com/rattantray/rattantray/internal/timer"
)

type engineOptions struct {
	IO            *streamer.IOStreams
	Listen        string
	Name          string
	Kind          string
	Model         string
	Version       string
	Layers        string
	PrefillRate   float64
	DecodeRate    float64
	MemoryBytes   uint64
	ChecksFencing bool
	KeepFor       time.Duration
	PullRate      float64
}

func newCmdEngine(f *maker.Factory, runF func(context.Context, *engineOptions) error) *cobra.Command {
	opts := &engineOptions{IO: f.IO}
	cmd := &cobra.Command{
		Use:     "engine",
		Short:   "Run a fake model engine that holds a range of layers",
		Example: `  rattantray fake engine --listen 127.0.0.1:7401 --name engine-1 --model assistant --version v1 --layers 0-12`,
		Args:    exiter.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			if _, err := opts.holdings(); err != nil {
				return err
			}
			if runF != nil {
				return runF(cmd.Context(), opts)
			}
			return runEngine(cmd.Context(), opts)
		},
	}
	flags := cmd.Flags()
	flags.StringVar(&opts.Listen, "listen", "127.0.0.1:7401", "Listen on this `address`")
	flags.StringVar(&opts.Name, "name", "engine-1", "Name of the target")
	flags.StringVar(&opts.Kind, "kind", "a100", "Kind of accelerator")
	flags.StringVar(&opts.Model, "model", "assistant", "Model that is held")
	flags.StringVar(&opts.Version, "model-version", "v1", "Version of the model")
	flags.StringVar(&opts.Layers, "layers", "", "Layers that are held from the start, as `FIRST-END`, END exclusive; empty holds none")
	flags.Float64Var(&opts.PrefillRate, "prefill-rate", 2_000_000, "Layer-tokens a second of prefill; 0 is unlimited")
	flags.Float64Var(&opts.DecodeRate, "decode-rate", 100_000, "Layer-tokens a second of decode; 0 is unlimited")
	flags.Uint64Var(&opts.MemoryBytes, "memory-bytes", 80<<30, "Accelerator memory")
	flags.BoolVar(&opts.ChecksFencing, "checks-fencing", false, "Refuse orders with an old fencing number")
	flags.DurationVar(&opts.KeepFor, "keep-for", 30*time.Second, "Keep a cut stream for this `duration`")
	flags.Float64Var(&opts.PullRate, "pull-rate", 0, "Bytes of weights a second; 0 is unlimited")
	return cmd
}

func (o *engineOptions) holdings() ([]cataloger.Holding, error) {
	if o.Layers == "" {
		return nil, nil
	}
	var first, end uint32
	if _, err := fmt.Sscanf(o.Layers, "%d-%d", &first, &end); err != nil || end <= first {
		return nil, exiter.Flagf("--layers %q is not accepted: want FIRST-END with END above FIRST", o.Layers)
	}
	return []cataloger.Holding{{Model: o.Model, Version: o.Version, FirstLayer: first, EndLayer: end, Ready: true}}, nil
}

func runEngine(ctx context.Context, opts *engineOptions) error {
	holdings, err := opts.holdings()
	if err != nil {
		return err
	}
	engine := enginefaker.New(enginefaker.Config{
		Name:          opts.Name,
		Kind:          opts.Kind,
		PrefillRate:   opts.PrefillRate,
		DecodeRate:    opts.DecodeRate,
		MemoryBytes:   opts.MemoryBytes,
		Holdings:      holdings,
		ChecksFencing: opts.ChecksFencing,
		Clock:         timer.System{},
		Client:        engineer.HTTPClient(),
		KeepFor:       opts.KeepFor,
		PullRate:      opts.PullRate,
	})
	defer engine.Close()
	return serve(ctx, opts.IO, "engine "+opts.Name, opts.Listen, engine.Handler())
}
