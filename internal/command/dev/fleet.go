package dev

import (
	"context"
	_ "embed"
	"fmt"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"connectrpc.com/connect"
	"github.com/cockroachdb/errors"
	"github.com/rs/zerolog"

	"github.com/rattantray/rattantray/internal/cataloger"
	"github.com/rattantray/rattantray/internal/engineer"
	"github.com/rattantray/rattantray/internal/enginefaker"
	"github.com/rattantray/rattantray/internal/platformfaker"
	"github.com/rattantray/rattantray/internal/router"
	"github.com/rattantray/rattantray/internal/servicefaker"
	"github.com/rattantray/rattantray/internal/timer"
	v1 "github.com/rattantray/rattantray/pkg/api/rattantray/v1"
	"github.com/rattantray/rattantray/pkg/api/rattantray/v1/rattantrayv1connect"
)

//go:embed assistant.yaml
var assistantDocument []byte

//go:embed bookings.yaml
var bookingsDocument []byte

const (
	devModel        = "assistant"
	devVersion      = "v1"
	activationBytes = 8 << 10
	serviceWorkTime = 5 * time.Millisecond
	applyTimeout    = 15 * time.Second
	applyInterval   = 50 * time.Millisecond
	devSecret       = "rattantray-dev-loopback-secret-0"
)

// engineSpec describes one of the eight engines. They are of four kinds and hold overlapping layers of a model with 24 layers.
type engineSpec struct {
	kind        string
	first, end  uint32
	decodeRate  float64
	prefillRate float64
	dc          cataloger.DataCentre
	fencing     bool
}

var engineSpecs = []engineSpec{
	{"h100", 0, 12, 60_000, 2_400_000, "dc-a", true},
	{"h100", 12, 24, 60_000, 2_400_000, "dc-a", true},
	{"a100", 0, 8, 30_000, 1_200_000, "dc-a", true},
	{"a100", 8, 16, 30_000, 1_200_000, "dc-b", true},
	{"a100", 16, 24, 30_000, 1_200_000, "dc-b", false},
	{"l40s", 0, 12, 15_000, 600_000, "dc-b", true},
	{"l40s", 12, 24, 15_000, 600_000, "dc-a", false},
	{"mi300", 6, 24, 50_000, 2_000_000, "dc-b", true},
}

// fleet holds the platform, the targets and the routers that the command runs.
type fleet struct {
	opts     *Options
	log      zerolog.Logger
	platform *platformfaker.Platform
	// platformAddress has the form host:port.
	platformAddress string
	engines         []*enginefaker.Engine
	servers         []*http.Server
	vms             []cataloger.VM
	routers         []*router.Router
}

func startFleet(opts *Options, log zerolog.Logger) (*fleet, error) {
	f := &fleet{
		opts:     opts,
		log:      log,
		platform: platformfaker.New(platformfaker.Config{Clock: timer.System{}}),
	}
	var err error
	if f.platformAddress, err = f.serve(f.platform.Handler()); err != nil {
		return nil, err
	}
	if err := f.addEngines(); err != nil {
		return nil, err
	}
	if err := f.addService(); err != nil {
		return nil, err
	}
	if err := f.addRouters(); err != nil {
		return nil, err
	}
	f.platform.SetVMs(f.vms)
	return f, nil
}

// serve serves handler on a free loopback port and returns the address.
func (f *fleet) serve(handler http.Handler) (string, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	server := enginefaker.NewServer(handler)
	f.servers = append(f.servers, server)
	go func() { _ = server.Serve(listener) }()
	return listener.Addr().String(), nil
}

func (f *fleet) addEngines() error {
	client := engineer.HTTPClient()
	for i, spec := range engineSpecs {
		name := fmt.Sprintf("engine-%d", i+1)
		engine := enginefaker.New(enginefaker.Config{
			Name:            name,
			Kind:            spec.kind,
			PrefillRate:     spec.prefillRate,
			DecodeRate:      spec.decodeRate,
			MemoryBytes:     80 << 30,
			Role:            "both",
			Holdings:        []cataloger.Holding{{Model: devModel, Version: devVersion, FirstLayer: spec.first, EndLayer: spec.end, Ready: true}},
			ChecksFencing:   spec.fencing,
			Clock:           timer.System{},
			Client:          client,
			ActivationBytes: activationBytes,
			KeepFor:         30 * time.Second,
		})
		f.engines = append(f.engines, engine)
		address, err := f.serve(engine.Handler())
		if err != nil {
			return err
		}
		f.addVM(spec.dc, cataloger.Target{
			Name:          name,
			Address:       address,
			Type:          cataloger.TypeEngine,
			Kind:          spec.kind,
			ChecksFencing: spec.fencing,
		})
	}
	return nil
}

func (f *fleet) addService() error {
	service := servicefaker.New(servicefaker.Config{Name: "bookings-1", Clock: timer.System{}, WorkTime: serviceWorkTime})
	address, err := f.serve(service.Handler())
	if err != nil {
		return err
	}
	f.addVM("dc-a", cataloger.Target{Name: "bookings-1", Address: address, Type: cataloger.TypeService, Service: "bookings"})
	return nil
}

func (f *fleet) addVM(dc cataloger.DataCentre, target cataloger.Target) {
	name := "vm-" + target.Name
	target.VM = name
	target.DataCentre = dc
	f.vms = append(f.vms, cataloger.VM{Name: name, DataCentre: dc, Role: cataloger.RoleTarget, Targets: []cataloger.Target{target}})
}

func (f *fleet) addRouters() error {
	host, portText, _ := net.SplitHostPort(f.opts.Listen)
	port, err := strconv.Atoi(portText)
	if err != nil {
		return err
	}
	peers, err := freeAddresses(host, f.opts.Routers)
	if err != nil {
		return err
	}
	for i := range f.opts.Routers {
		s := router.DefaultSettings()
		s.Name = fmt.Sprintf("router-%d", i+1)
		s.DataCentre = []string{"dc-a", "dc-b"}[i%2]
		s.Listen = net.JoinHostPort(host, strconv.Itoa(port+i))
		s.PeerListen = peers[i]
		s.Peers = peers
		s.Platform = f.platformAddress
		s.PeerSecret = devSecret
		s.ResumeKeys = []string{strings.Repeat("5a", 32)}
		s.ResolveTTL = 2 * time.Second
		s.Release = f.opts.Release
		if err := s.Check(); err != nil {
			return err
		}
		r, err := router.New(router.Config{
			Settings: s,
			Log:      f.log,
			Clock:    timer.System{},
			Network:  router.TCP(),
			Ready:    func(address string) { f.opts.IO.Printf("%s ready on %s\n", s.Name, address) },
		})
		if err != nil {
			return err
		}
		f.routers = append(f.routers, r)
	}
	return nil
}

// freeAddresses returns n addresses of host with ports that were free at the time of the call.
func freeAddresses(host string, n int) ([]string, error) {
	var addresses []string
	for range n {
		listener, err := net.Listen("tcp", net.JoinHostPort(host, "0"))
		if err != nil {
			return nil, err
		}
		defer func() { _ = listener.Close() }()
		addresses = append(addresses, listener.Addr().String())
	}
	return addresses, nil
}

func (f *fleet) run(ctx context.Context) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	var wg sync.WaitGroup
	runErrors := make(chan error, len(f.routers)+1)
	for _, r := range f.routers {
		wg.Go(func() {
			defer cancel()
			runErrors <- r.Run(ctx)
		})
	}
	err := f.apply(ctx, assistantDocument, bookingsDocument)
	if err == nil {
		err = f.awaitServing(ctx)
	}
	if err == nil {
		printHints(f.opts.IO, f.opts.Listen, f.platformAddress)
	} else {
		cancel()
	}
	<-ctx.Done()
	if err == nil {
		f.opts.IO.Errorf("shutting down\n")
	}
	wg.Wait()
	close(runErrors)
	for e := range runErrors {
		err = errors.CombineErrors(err, e)
	}
	return err
}

// apply stores the documents. It retries until the first router answers or applyTimeout has passed.
func (f *fleet) apply(ctx context.Context, documents ...[]byte) error {
	ctx, cancel := context.WithTimeout(ctx, applyTimeout)
	defer cancel()
	client := rattantrayv1connect.NewOperatorServiceClient(engineer.HTTPClient(), "http://"+f.opts.Listen)
	for _, document := range documents {
		for {
			resp, err := client.Apply(ctx, connect.NewRequest(&v1.ApplyRequest{Document: document, Author: "dev"}))
			if err == nil && resp.Msg.Result == v1.ApplyResult_APPLY_RESULT_ACCEPTED {
				break
			}
			if err == nil {
				return errors.Newf("apply service document: %s", resp.Msg.Message)
			}
			if (timer.System{}).Sleep(ctx, applyInterval) != nil {
				return errors.Wrap(err, "apply service documents")
			}
		}
	}
	return nil
}

// awaitServing waits until every router can run both services.
func (f *fleet) awaitServing(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, applyTimeout)
	defer cancel()
	for _, r := range f.routers {
		for !r.Serves("renewal-assistant") || !r.Serves("bookings") {
			if err := (timer.System{}).Sleep(ctx, applyInterval); err != nil {
				return errors.Wrapf(err, "wait for %s to serve", r.Address())
			}
		}
	}
	return nil
}

func (f *fleet) close() {
	for _, s := range f.servers {
		_ = s.Close()
	}
	for _, e := range f.engines {
		e.Close()
	}
}
