package main

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"time"
)

const (
	readyTimeout      = 20 * time.Second
	readyPollInterval = 100 * time.Millisecond
)

// fleet holds the processes that a measurement runs against.
type fleet struct {
	bin, dir string
	platform *exec.Cmd
	service  *exec.Cmd
	router   *exec.Cmd
	// perf ends when the router ends.
	perf    *exec.Cmd
	engines []*exec.Cmd

	serviceAddress  string
	routerAddress   string
	engineAddresses []string
	// endedCallers is the processor time of the callers that have ended.
	endedCallers time.Duration
}

func newFleet(ctx context.Context, dir, bin string, o options) (*fleet, error) {
	f := &fleet{bin: bin, dir: dir}
	if err := f.startTargets(ctx, o); err != nil {
		return f, err
	}
	if err := f.startRouter(ctx, o.profile); err != nil {
		return f, err
	}
	return f, f.configure(ctx)
}

func (f *fleet) startTargets(ctx context.Context, o options) error {
	var err error
	if f.serviceAddress, err = freeAddress(); err != nil {
		return err
	}
	if f.service, err = f.start(ctx, "service", "fake", "service", "--listen", f.serviceAddress, "--work-time", "0s"); err != nil {
		return err
	}
	for i := range o.engines {
		address, err := freeAddress()
		if err != nil {
			return err
		}
		name := fmt.Sprintf("engine-%d", i)
		engine, err := f.start(ctx, name, "fake", "engine", "--listen", address, "--name", name,
			"--layers", "0-24", "--prefill-rate", "0", "--decode-rate", fmt.Sprint(o.decodeRate))
		if err != nil {
			return err
		}
		f.engines = append(f.engines, engine)
		f.engineAddresses = append(f.engineAddresses, address)
	}
	return nil
}

type target struct {
	Name    string `json:"name"`
	Address string `json:"address"`
	Type    string `json:"type"`
	Service string `json:"service,omitempty"`
}

type vm struct {
	Name       string   `json:"name"`
	DataCentre string   `json:"data-centre"`
	Role       string   `json:"role"`
	Targets    []target `json:"targets"`
}

func (f *fleet) startRouter(ctx context.Context, profile string) error {
	host := vm{Name: "vm-1", DataCentre: "dc-a", Role: "target"}
	host.Targets = append(host.Targets, target{Name: "bookings-1", Address: f.serviceAddress, Type: "service", Service: "bookings"})
	for i, address := range f.engineAddresses {
		host.Targets = append(host.Targets, target{Name: fmt.Sprintf("engine-%d", i), Address: address, Type: "engine"})
	}
	raw, err := json.Marshal([]vm{host})
	if err != nil {
		return err
	}
	vms := filepath.Join(f.dir, "vms.json")
	if err := os.WriteFile(vms, raw, 0o600); err != nil {
		return err
	}
	platform, err := freeAddress()
	if err != nil {
		return err
	}
	if f.platform, err = f.start(ctx, "platform", "fake", "platform", "--listen", platform, "--vms", vms); err != nil {
		return err
	}
	if f.routerAddress, err = freeAddress(); err != nil {
		return err
	}
	args := []string{"router", "start", "--name", "router-1", "--data-centre", "dc-a", "--listen", f.routerAddress,
		"--peer-listen", "127.0.0.1:0", "--platform", platform, "--insecure-peers", "--resume-key", strings.Repeat("5a", 32), "--log-level", "warn"}
	f.router, err = f.start(ctx, "router", args...)
	if err == nil && profile != "" {
		err = f.startProfile(ctx, profile)
	}
	return err
}

// startProfile profiles the router with perf until the router ends.
func (f *fleet) startProfile(ctx context.Context, file string) error {
	perf := exec.CommandContext(ctx, "perf", "record", "-q", "-g", "-o", file, "-p", fmt.Sprint(f.router.Process.Pid))
	perf.Stderr = os.Stderr
	f.perf = perf
	return perf.Start()
}

// configure applies the service documents and waits until the router serves the assistant and the plain service answers.
func (f *fleet) configure(ctx context.Context) error {
	for _, document := range []string{"assistant", "bookings"} {
		if err := f.runUntilSuccess(ctx, "service", "apply", "-f", "internal/command/dev/"+document+".yaml"); err != nil {
			return err
		}
	}
	if err := f.runUntilSuccess(ctx, "request", "send", "-w", "counter", "-s", "renewal-assistant", "-d", "ready", "--max-tokens", "4", "--timeout", "5s"); err != nil {
		return err
	}
	return f.awaitURL(ctx, "http://"+f.serviceAddress+"/status/1")
}

func (f *fleet) runUntilSuccess(ctx context.Context, args ...string) error {
	var out []byte
	var err error
	for limit := time.Now().Add(readyTimeout); time.Now().Before(limit) && ctx.Err() == nil; time.Sleep(readyPollInterval) {
		if out, err = f.command(ctx, args...).CombinedOutput(); err == nil {
			return nil
		}
	}
	return fmt.Errorf("%s: %w: %s", strings.Join(args, " "), err, out)
}

func (f *fleet) awaitURL(ctx context.Context, url string) error {
	err := ctx.Err()
	for limit := time.Now().Add(readyTimeout); time.Now().Before(limit) && ctx.Err() == nil; time.Sleep(readyPollInterval) {
		var resp *http.Response
		if resp, err = http.Get(url); err == nil {
			return resp.Body.Close()
		}
	}
	return err
}

func (f *fleet) command(ctx context.Context, args ...string) *exec.Cmd {
	cmd := exec.CommandContext(ctx, f.bin, args...)
	cmd.Env = append(os.Environ(), "RATTANTRAY_ROUTER="+f.routerAddress)
	return cmd
}

func (f *fleet) start(ctx context.Context, name string, args ...string) (*exec.Cmd, error) {
	log, err := os.Create(filepath.Join(f.dir, name+".log"))
	if err != nil {
		return nil, err
	}
	defer func() { _ = log.Close() }()
	cmd := f.command(ctx, args...)
	cmd.Stdout, cmd.Stderr = log, log
	return cmd, cmd.Start()
}

// stop ends the processes that the fleet started.
func (f *fleet) stop() {
	for _, cmd := range append([]*exec.Cmd{f.router, f.platform, f.service}, f.engines...) {
		if cmd == nil || cmd.Process == nil {
			continue
		}
		_ = cmd.Process.Kill()
		_ = cmd.Wait()
	}
	if f.perf != nil {
		_ = f.perf.Wait()
	}
}

// readUsage reads the processor time of the machine, the fleet and the callers that have ended.
func (f *fleet) readUsage() (usage, error) {
	r := usage{at: time.Now(), callers: f.endedCallers}
	var err error
	if r.machine, err = machineTime(); err != nil {
		return r, err
	}
	if r.router, err = processTime(f.router.Process.Pid); err != nil {
		return r, err
	}
	for _, cmd := range f.engines {
		used, err := processTime(cmd.Process.Pid)
		if err != nil {
			return r, err
		}
		r.engines += used
	}
	for _, cmd := range []*exec.Cmd{f.platform, f.service} {
		used, err := processTime(cmd.Process.Pid)
		if err != nil {
			return r, err
		}
		r.auxiliaries += used
	}
	r.own = r.router + r.engines + r.auxiliaries + r.callers
	return r, nil
}

func freeAddress() (string, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	defer func() { _ = l.Close() }()
	return l.Addr().String(), nil
}
