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

// Names of the services of a router.
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

// Network holds the functions by which a router listens and dials.
type Network struct {
	Listen func(network, address string) (net.Listener, error)
	Dial   func(ctx context.Context, network, address string) (net.Conn, error)
}

// TCP returns the network of the operating system.
func TCP() Network {
	dialer := &net.Dialer{Timeout: dialTimeout, KeepAlive: keepAlivePeriod}
	return Network{Listen: net.Listen, Dial: dialer.DialContext}
}

// Config holds the settings of a router and its links to the outside.
type Config struct {
	Settings Settings
	Log      zerolog.Logger
	Clock    timer.Clock
	Network  Network
	// Ready is called with the address for callers once the router listens on it; may be nil.
	Ready func(address string)
}

// Router is the daemon that admits the requests of callers and sends them to targets.
type Router struct {
	Config

	registrar *registrar.Registrar
	meter     *meter.Meter
	local     cataloger.Member
	startedAt time.Time
	shutdown  *shutdown

	keys          *keyer.Keyer
	storeLimiter  *storer.Limiter
	peer          *linker.Peer
	tracker       *tracker.Tracker
	config        *configurer.Configurer
	limits        *limiter.Limiter
	configChanged *queuer.Ring[struct{}]
	engines       *engineer.Pool
	selector      *selector.Selector
	dispatcher    *dispatcher.Dispatcher
	admitter      *admitter.Admitter
	journal       *journaler.Journaler
	sequencer     *sequencer.Sequencer
	leases        *leaser.Leaser
	placement     *placement
	tokens        *tokener.Tokener
	forwarder     *forwarder.Forwarder
	balancer      *forwarder.Balancer

	// plainTargets holds the instances of plain services by service.
	plainTargets atomic.Pointer[map[string][]cataloger.Target]

	// engineVersions holds the versions that engines hold, by model.
	engineVersions atomic.Pointer[map[string][]string]

	mu      sync.Mutex
	address string
	// versionRandom is guarded by mu.
	versionRandom *randv2.Rand
}

// New returns a router that is ready to Run; its settings must have passed Settings.Check.
func New(config Config) (*Router, error) {
	settings := config.Settings.WithDefaults()
	config.Settings = settings
	config.Log = config.Log.With().Str("member", settings.Name).Logger()
	now := config.Clock.Now()
	r := &Router{
		Config:    config,
		meter:     meter.New(),
		startedAt: now,
		forwarder: forwarder.NewOver(config.Clock, config.Network.Dial),
		local: cataloger.Member{
			Name: settings.Name,
			// The wall clock orders the starts of one daemon; ties are settled by refutation.
			Incarnation: uint64(now.UnixNano()),
			Epoch:       uint64(now.UnixNano()),
			Address:     settings.Advertise,
			PeerAddress: settings.PeerAdvertise,
			DataCentre:  cataloger.DataCentre(settings.DataCentre),
			Region:      settings.Region,
			State:       cataloger.StateLive,
		},
	}
	r.balancer = forwarder.NewBalancer(r.forwarder, r.newRandom())
	r.versionRandom = r.newRandom()
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
	r.registerGauges()
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
	servingCtx, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	var wg sync.WaitGroup
	defer wg.Wait()
	wg.Go(func() {
		defer stop()
		r.shutdown.run(ctx, servingCtx)
	})
	defer stop()
	return r.registrar.Run(servingCtx)
}

// Drain starts a graceful shutdown that waits up to timeout for requests in progress; 0 means Settings.DrainTimeout.
func (r *Router) Drain(timeout time.Duration) { r.shutdown.drainer.Drain(timeout) }

// HandleSignal handles a termination signal and describes its effect: the first drains, the second only returns what a third
// would cut, and the third cuts it.
func (r *Router) HandleSignal() string { return r.shutdown.drainer.HandleSignal() }

// Force shuts down immediately and cuts the requests in progress.
func (r *Router) Force() { r.shutdown.force() }

// InProgress returns the number of requests without a final answer.
func (r *Router) InProgress() int { return r.shutdown.inProgress() }

// Address returns the address that the router serves callers on, or "" before it listens.
func (r *Router) Address() string {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.address
}

func (r *Router) newRandom() *randv2.Rand {
	var seed [32]byte
	_, _ = rand.Read(seed[:])
	return randv2.New(randv2.NewChaCha8(seed))
}

func (r *Router) listen(name, address string) (net.Listener, error) {
	listener, err := r.Network.Listen("tcp", address)
	return listener, errors.Wrapf(err, "--%s", name)
}

func newHTTPServer(handler http.Handler) *http.Server {
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

// Serves reports whether the router can run requests of a service now.
func (r *Router) Serves(service string) bool {
	doc, _, ok := r.config.Lookup(service)
	if !ok || !r.ready() {
		return false
	}
	if doc.Model != nil {
		model := selectorModel(doc)
		return slices.ContainsFunc(r.versionsHeld(model.Name), func(version string) bool {
			model.Version = version
			return r.selector.Bound(model.Key()) > 0
		})
	}
	return r.hasLiveInstance(doc.Name)
}

// LiveMembers returns the members that this router considers live.
func (r *Router) LiveMembers() []cataloger.Member { return tracker.Live(r.tracker.Fleet().Members) }
