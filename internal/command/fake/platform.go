package fake

import (
	"context"
	"encoding/json"
	"os"
	"time"

	"github.com/spf13/cobra"

	"github.com/rattantray/rattantray/internal/cataloger"
	"github.com/rattantray/rattantray/internal/command/exiter"
	"github.com/rattantray/rattantray/internal/command/maker"
	"github.com/rattantray/rattantray/internal/command/streamer"
	"github.com/rattantray/rattantray/internal/platformfaker"
	"github.com/rattantray/rattantray/internal/timer"
)

type platformOptions struct {
	IO       *streamer.IOStreams
	ReadFile func(name string) ([]byte, error)
	Listen   string
	VMs      string
	VMLag    time.Duration
}

// vmRecord is a VM in the JSON file of --vms.
type vmRecord struct {
	Name       string         `json:"name"`
	DataCentre string         `json:"data-centre"`
	Role       string         `json:"role"`
	Address    string         `json:"address"`
	Leaving    bool           `json:"leaving"`
	Targets    []targetRecord `json:"targets"`
}

type targetRecord struct {
	Name          string `json:"name"`
	Address       string `json:"address"`
	Type          string `json:"type"`
	Kind          string `json:"kind"`
	Service       string `json:"service"`
	ChecksFencing bool   `json:"checks-fencing"`
}

func newCmdPlatform(f *maker.Factory, runF func(context.Context, *platformOptions) error) *cobra.Command {
	opts := &platformOptions{IO: f.IO, ReadFile: os.ReadFile}
	cmd := &cobra.Command{
		Use:   "platform",
		Short: "Run a fake object API and VM list",
		Long: `Run a fake object API and VM list.

The file of --vms is a JSON array of VMs: name, data-centre, role (entry or
target), address, leaving, and targets with name, address, type (engine or
service), kind, service, checks-fencing.`,
		Example: `  rattantray fake platform --listen 127.0.0.1:7200 --vms vms.json`,
		Args:    exiter.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			if runF != nil {
				return runF(cmd.Context(), opts)
			}
			return runPlatform(cmd.Context(), opts)
		},
	}
	cmd.Flags().StringVar(&opts.Listen, "listen", "127.0.0.1:7200", "Listen on this `address`")
	cmd.Flags().StringVar(&opts.VMs, "vms", "", "Read the VM list from this JSON `file`")
	cmd.Flags().DurationVar(&opts.VMLag, "vm-lag", 0, "Age of the VM list")
	return cmd
}

func runPlatform(ctx context.Context, opts *platformOptions) error {
	platform := platformfaker.New(platformfaker.Config{Clock: timer.System{}, VMLag: opts.VMLag})
	if opts.VMs != "" {
		raw, err := opts.ReadFile(opts.VMs)
		if err != nil {
			return exiter.Flagf("--vms: %s", err)
		}
		vms, err := parseVMs(raw)
		if err != nil {
			return exiter.Flagf("--vms %s: %s", opts.VMs, err)
		}
		platform.SetVMs(vms)
	}
	return serve(ctx, opts.IO, "platform", opts.Listen, platform.Handler())
}

func parseVMs(raw []byte) ([]cataloger.VM, error) {
	var records []vmRecord
	if err := json.Unmarshal(raw, &records); err != nil {
		return nil, err
	}
	vms := make([]cataloger.VM, 0, len(records))
	for _, r := range records {
		vms = append(vms, r.vm())
	}
	return vms, nil
}

func (r vmRecord) vm() cataloger.VM {
	vm := cataloger.VM{
		Name:       r.Name,
		DataCentre: cataloger.DataCentre(r.DataCentre),
		Role:       cataloger.Role(r.Role),
		Address:    r.Address,
		Leaving:    r.Leaving,
	}
	for _, t := range r.Targets {
		vm.Targets = append(vm.Targets, cataloger.Target{
			Name:          t.Name,
			VM:            r.Name,
			DataCentre:    vm.DataCentre,
			Address:       t.Address,
			Type:          cataloger.TargetType(t.Type),
			Kind:          t.Kind,
			Service:       t.Service,
			ChecksFencing: t.ChecksFencing,
		})
	}
	return vm
}
