package router

import (
	"context"
	"crypto/rand"
	randv2 "math/rand/v2"
	"net"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/rs/zerolog"

	"github.com/rattantray/rattantray/internal/admitter"
	"github.com/rattantray/rattantray/internal/cataloger"
	"github.com/rattantray/rattantray/internal/configurer"
	"github.com/rattantray/rattantray/internal/dispatcher"
	"github.com/rattantray/rattantray/internal/engineer"
	"github.com/rattantray/rattantray/internal/forwarder"
	"github.com/rattantray/rattantray/internal/journaler"
	"github.com/rattantray/rattantray/internal/keyer"
	"github.com/rattantray/rattantray/internal/leaser"
	"github.com/rattantray/rattantray/internal/limiter"
	"github.com/rattantray/rattantray/internal/linker"
	"github.com/rattantray/rattantray/internal/meter"
	"github.com/rattantray/rattantray/internal/queuer"
	"github.com/rattantray/rattantray/internal/registrar"
	"github.com/rattantray/rattantray/internal/selector"
	"github.com/rattantray/rattantray/internal/sequencer"
	"github.com/rattantray/rattantray/internal/storer"
	"github.com/rattantray/rattantray/internal/timer"
	"github.com/rattantray/rattantray/internal/tokener"
	"github.com/rattantray/rattantray/internal/tracker"
)

// Names of the services of a daemon.
const (
	ServiceKeys        = "keys"
	ServiceStore       = "store"
	ServiceLink        = "link"
	ServiceMembers     = "members"
	ServiceConfig      = "config"
	ServiceProbes      = "probes"
	ServiceAdmission   = "admission"
	ServiceLimits      = "limits"
	ServiceSelection   = "selection"
	ServiceCacheEvents = "cache-events"
	ServiceJournal     = "journal"
	ServiceOrdering    = "ordering"
	ServiceLeases      = "leases"
	ServicePlacement   = "placement"
	ServiceReceiver    = "receiver"
	ServiceOperations  = "operations"
)

const (
	randomKeyBytes  = 32
	dialTimeout     = 2 * time.Second
	keepAlivePeriod = 15 * time.Second
)

// Network is how a daemon reaches others and is reached.
type Network struct {
	Listen func(network, address string) (net.Listener, error)
	Dial   func(ctx context.Context, network, address string) (net.Conn, error)
}

// TCP returns the network of the operating system.
func TCP() Network {
	dialer := &net.Dialer{Timeout: dialTimeout, KeepAlive: keepAlivePeriod}
	return Network{Listen: net.Listen, Dial: dialer.DialContext}
}

// Config is what a daemon is made of.
type Config struct {
	Settings Settings
	Log      zerolog.Logger
	Clock    timer.Clock
	Network  Network
	// Ready is called with the address for callers once the daemon serves; nil where nobody waits.
	Ready func(address string)
}

// Router is one daemon.
type Router struct {
	Config

	registrar *registrar.Registrar
	meter     *meter.Meter
	local     cataloger.Member
	begun     time.Time
	shutdown  *shutdown

	keys      *keyer.Keyer
	limiter   *storer.Limiter
	peer      *linker.Peer
	tracker   *tracker.Tracker
	config    *configurer.Configurer
	limits    *limiter.Limiter
	changed   *queuer.Ring[struct{}]
	engines   *engineer.Pool
	selector  *selector.Selector
	dispatch  *dispatcher.Dispatcher
	admit     *admitter.Admitter
	journal   *journaler.Journaler
	order     *sequencer.Sequencer
	leases    *leaser.Leaser
	placement *placement
	tokens    *tokener.Tokener
	plain     *forwarder.Forwarder
	balancer  *forwarder.Balancer

	// plainTargets holds the instances of plain services by service.
	plainTargets atomic.Pointer[map[string][]cataloger.Target]

	// held holds the versions that engines hold, by model.
	held atomic.Pointer[map[string][]string]

	mu      sync.Mutex
	address string
	// draws is guarded by mu.
	draws *randv2.Rand
}

// New returns a daemon with settings that were checked.
func New(config Config) (*Router, error) {
	settings := config.Settings.WithDefaults()
	config.Settings = settings
	config.Log = config.Log.With().Str("member", settings.Name).Logger()
	now := config.Clock.Now()
	r := &Router{
		Config: config,
		meter:  meter.New(),
		begun:  now,
		plain:  forwarder.NewOver(config.Clock, config.Network.Dial),
		local: cataloger.Member{
			Name: settings.Name,
			// The wall clock orders the starts of one daemon; the fleet settles ties by refutation.
			Incarnation: uint64(now.UnixNano()),
			Epoch:       uint64(now.UnixNano()),
			Address:     settings.Advertise,
			PeerAddress: settings.PeerAdvertise,
			DataCentre:  cataloger.DataCentre(settings.DataCentre),
			Region:      settings.Region,
			State:       cataloger.StateLive,
		},
	}
	r.balancer = forwarder.NewBalancer(r.plain, r.random())
	r.draws = r.random()
	r.registrar = registrar.New(r.Log, r.Clock)
	r.shutdown = newShutdown(r)
	for _, build := range r.builders() {
		service, err := build()
		if err != nil {
			return nil, err
		}
		if err := r.registrar.Register(service); err != nil {
			return nil, err
		}
	}
	r.gauges()
	return r, nil
}

func (r *Router) builders() []func() (registrar.Service, error) {
	return []func() (registrar.Service, error){
		r.buildKeys,
		r.buildStore,
		r.buildLink,
		r.buildMembers,
		r.buildConfig,
		r.buildProbes,
		r.buildAdmission,
		r.buildLimits,
		r.buildSelection,
		r.buildCacheEvents,
		r.buildJournal,
		r.buildOrdering,
		r.buildLeases,
		r.buildPlacement,
		r.buildReceiver,
	}
}

// Run serves until ctx is done and the graceful shutdown that follows has ended.
func (r *Router) Run(ctx context.Context) error {
	serving, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	var wg sync.WaitGroup
	defer wg.Wait()
	wg.Go(func() {
		defer stop()
		r.shutdown.run(ctx, serving)
	})
	defer stop()
	return r.registrar.Run(serving)
}

// Drain starts a graceful shutdown within a time limit; 0 takes the setting.
func (r *Router) Drain(timeout time.Duration) { r.shutdown.drainer.Drain(timeout) }

// Signal takes a signal to end and says what it does: the first drains, the second tells what a third would cut.
func (r *Router) Signal() string { return r.shutdown.drainer.Signal() }

// Force ends a graceful shutdown at once.
func (r *Router) Force() { r.shutdown.force() }

// InProgress returns how many requests have no final answer yet.
func (r *Router) InProgress() int { return r.shutdown.inProgress() }

// Address returns the address that the daemon serves callers on.
func (r *Router) Address() string {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.address
}

func (r *Router) random() *randv2.Rand {
	var seed [32]byte
	_, _ = rand.Read(seed[:])
	return randv2.New(randv2.NewChaCha8(seed))
}

func (r *Router) listen(name, address string) (net.Listener, error) {
	listener, err := r.Network.Listen("tcp", address)
	return listener, errors.Wrapf(err, "--%s", name)
}

func httpServer(handler http.Handler) *http.Server {
	protocols := new(http.Protocols)
	protocols.SetHTTP1(true)
	protocols.SetHTTP2(true)
	protocols.SetUnencryptedHTTP2(true)
	return &http.Server{
		Handler:           handler,
		Protocols:         protocols,
		ReadHeaderTimeout: readHeaderTimeout,
		HTTP2:             &http.HTTP2Config{MaxConcurrentStreams: maxStreamsPerConn},
	}
}

const (
	readHeaderTimeout = 10 * time.Second
	maxStreamsPerConn = 4096
)

// Serves tells whether the daemon can run requests of a service now.
func (r *Router) Serves(service string) bool {
	doc, _, ok := r.config.Lookup(service)
	if !ok || !r.ready() {
		return false
	}
	if doc.Model != nil {
		model := modelOf(doc)
		return slices.ContainsFunc(r.versions(model.Name), func(version string) bool {
			model.Version = version
			return r.selector.Bound(model.Key()) > 0
		})
	}
	return r.servesPlain(doc.Name)
}

// LiveMembers returns the members that this daemon takes for live.
func (r *Router) LiveMembers() []cataloger.Member { return tracker.Live(r.tracker.Fleet().Members) }
