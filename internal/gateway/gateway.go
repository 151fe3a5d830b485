package gateway

import (
	"context"
	"math/rand/v2"
	"net"
	"net/http"
	"net/url"
	"strings"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	metrics "github.com/rcrowley/go-metrics"
	"github.com/rs/zerolog"

	peerv1 "github.com/rattantray/rattantray/internal/api/rattantray/peer/v1"
	"github.com/rattantray/rattantray/internal/assessor"
	"github.com/rattantray/rattantray/internal/auditor"
	"github.com/rattantray/rattantray/internal/cataloger"
	"github.com/rattantray/rattantray/internal/chooser"
	"github.com/rattantray/rattantray/internal/follower"
	"github.com/rattantray/rattantray/internal/gossiper"
	"github.com/rattantray/rattantray/internal/leaser"
	"github.com/rattantray/rattantray/internal/matcher"
	"github.com/rattantray/rattantray/internal/orderer"
	"github.com/rattantray/rattantray/internal/poster"
	"github.com/rattantray/rattantray/internal/rationer"
	"github.com/rattantray/rattantray/internal/refresher"
	"github.com/rattantray/rattantray/internal/registrar"
	"github.com/rattantray/rattantray/internal/relayer"
	"github.com/rattantray/rattantray/internal/shedder"
	"github.com/rattantray/rattantray/internal/storer"
	"github.com/rattantray/rattantray/internal/tallier"
	"github.com/rattantray/rattantray/internal/timer"
	"github.com/rattantray/rattantray/internal/tracker"
	"github.com/rattantray/rattantray/internal/tunneler"
	"github.com/rattantray/rattantray/pkg/refuser"
)

const (
	// leaseDuration is how long the lease for placing layers outlasts its holder. The holder writes every third of it,
	// and these writes reveal missed changes; together with the auditor's grace and a list call, this stays under the
	// two seconds that a configuration change may take.
	leaseDuration = 2 * time.Second
	// removalSpread is reserved from the time that a removed target serves on, for the removal to reach the daemons that follow
	// this one and for requests that are being sent.
	removalSpread = 500 * time.Millisecond
	// peersPrefix is the key prefix under which daemons store their peer addresses for daemons that start later.
	peersPrefix = "gateways/"
	stopTimeout = 30 * time.Second
	// bodyMemoryShare is the share of the machine's memory for requests that are read.
	bodyMemoryShare = 5
)

// Settings holds the settings of one gateway.
type Settings struct {
	Name       string
	DataCentre string
	Region     string
	// ClientListen, ReadyListen and ResolveListen are host:port. PeerListen is for datagrams and HTTP of other gateways;
	// ControlListen, if set, serves the same HTTP.
	ClientListen  string
	ReadyListen   string
	ResolveListen string
	PeerListen    string
	ControlListen string
	// MetricsListen is the address that serves metrics; empty disables them.
	MetricsListen string
	// Seeds are peer addresses that may be stale.
	Seeds []string
	// FirstStart marks that the whole fleet starts for the first time, before any request.
	FirstStart bool
	// Grace is the time between the signal to stop and the kill.
	Grace time.Duration
	// DrainTime is how long targets serve after they were listed as leaving.
	DrainTime time.Duration
	// ConfigApply is how long a change of the configuration may take until it is in force everywhere; 0 is unknown.
	ConfigApply time.Duration
	// TargetRenewal is how often targets renew their entries; 0 is unknown.
	TargetRenewal time.Duration
	RetryBudget   rationer.Budget
	// ConfigPrefix and TargetsPrefix are the keys of the store that hold the configuration and the targets.
	ConfigPrefix  string
	TargetsPrefix string
	// Memory is the memory of the machine in bytes, and Descriptors how many a process may open; 0 is unknown, without limits.
	Memory      int64
	Descriptors int
}

// Adapter translates between the gateway and the platform that it runs on.
type Adapter struct {
	Store        storer.Store
	DecodeConfig func(value []byte) (matcher.Document, error)
	// DecodeTarget decodes the target of an object; an error means that the object names no usable target.
	DecodeTarget func(key string, value []byte) (cataloger.Target, error)
	Backend      relayer.Backend
	Place        func(ctx context.Context, target cataloger.Target, p orderer.Placement) (orderer.Result, error)
	// Client, Resolve and Ready serve clients, address lookups and health checks.
	Client  http.Handler
	Resolve http.Handler
	Ready   http.Handler
}

// Gateway is one daemon; set its exported fields before calling Run.
type Gateway struct {
	Settings Settings
	Adapter  Adapter
	Clock    timer.Clock
	Log      zerolog.Logger

	// fetch requests objects or changes from a peer.
	fetch      func(ctx context.Context, address, path string, query url.Values) (*peerv1.GatewayObjects, error)
	compressor compressor

	epoch         uint64
	config        atomic.Pointer[matcher.Matcher]
	targets       *assessor.Assessor
	relayer       *relayer.Relayer
	orderer       *orderer.Orderer
	gossiper      *gossiper.Gossiper
	poster        *poster.Poster
	tallier       *tallier.Tallier
	tracker       *tracker.Tracker
	members       atomic.Pointer[membership]
	started       time.Time
	peerRevisions peerRevisions
	// fleetSize tracks the size of the fleet within the window of the retry budget.
	fleetSize rationer.Peak
	// configFollower and targetFollower follow the configuration and the targets.
	configFollower *follower.Follower
	targetFollower *follower.Follower
	// configUpstream and targetUpstream are the sources that the followers read.
	configUpstream *upstream
	targetUpstream *upstream
	auditor        *auditor.Auditor
	confirmations  confirmationTimes
	availability   refresher.Availability
	pauses         refresher.Pauses
	duty           duty
	// links opens connections to targets, and door carries those of other daemons.
	links   *tunneler.Dialer
	door    *tunneler.Door
	client  *http.Server
	leaving atomic.Bool
	// departures records the departures of all daemons, including this one.
	departures     departures
	activeRequests atomic.Int64
	// bodies shares memory among requests that are read, and connections bound those of each listener.
	bodies      shedder.Budget
	connections []*shedder.Connections
	// shedBodies and shedConnections count what clients lost to the limits; shedLogged is when they were last logged.
	shedBodies, shedConnections, shedLogged atomic.Int64
	// era is the latest store era that was noticed, and eraCount how often it rose.
	era      atomic.Uint64
	eraCount atomic.Int64
}

// New returns a gateway that is ready to Run once its exported fields are set.
func New(s Settings, clock timer.Clock, log zerolog.Logger) *Gateway {
	g := &Gateway{Settings: s, Clock: clock, Log: log, fetch: fetchObjects}
	g.epoch = uint64(clock.Now().UnixMilli())
	g.started = clock.Now()
	g.members.Store(&membership{})
	g.targets = assessor.New(clock.Now)
	g.relayer = relayer.New(g.targets, clock)
	g.orderer = orderer.New(g.targets, clock)
	g.links = tunneler.NewDialer(clock)
	g.bodies.Limit, g.bodies.OnShed = s.Memory/bodyMemoryShare, g.recordShedBody
	return g
}

// Links returns the links to targets, through which the adapter must open its connections.
func (g *Gateway) Links() *tunneler.Dialer { return g.links }

// Relayer returns the relayer of the requests that Matcher allows.
func (g *Gateway) Relayer() *relayer.Relayer { return g.relayer }

// Matcher returns the configuration in force, or nil before the first one.
func (g *Gateway) Matcher() *matcher.Matcher { return g.config.Load() }

// RecordRefusal records a request that was refused before it could be relayed.
func (g *Gateway) RecordRefusal(id, host, path string, refusal *refuser.Refusal) {
	g.relayer.RecordRefusal(id, host, path, g.configVersion(), refusal)
}

// configVersion returns the version of the configuration in force, or 0 before the first one.
func (g *Gateway) configVersion() uint64 {
	if m := g.config.Load(); m != nil {
		return m.Version()
	}
	return 0
}

// Leaving reports whether the daemon is shutting down.
func (g *Gateway) Leaving() bool { return g.leaving.Load() }

// Ready reports whether the daemon accepts requests.
func (g *Gateway) Ready() bool {
	_, hasTargets := g.targetFollower.Revision()
	return g.config.Load() != nil && hasTargets && !g.leaving.Load()
}

// AddSeeds adds peer addresses from changed settings.
func (g *Gateway) AddSeeds(ctx context.Context, seeds []string) { g.tracker.AddSeeds(ctx, seeds...) }

// EntryAddresses returns the addresses that clients may connect to. If all daemons leave, it returns the address of the
// last one to leave, which stands in.
func (g *Gateway) EntryAddresses() []string {
	var ready []string
	var leaving []cataloger.Member
	for _, m := range g.allMembers() {
		switch {
		case acceptsRequests(m):
			ready = append(ready, m.Address)
		case m.State == cataloger.StateLeaving:
			leaving = append(leaving, m)
		}
	}
	if len(ready) > 0 || len(leaving) == 0 {
		return ready
	}
	var names []string
	for _, m := range leaving {
		names = append(names, m.Name)
	}
	last := g.departures.LastToLeave(names)
	return []string{leaving[memberIndex(leaving, last)].Address}
}

// Run serves until ctx is done, and then shuts down without interrupting requests.
func (g *Gateway) Run(ctx context.Context) error {
	conn, err := net.ListenPacket("udp", g.Settings.PeerListen)
	if err != nil {
		return errors.Wrap(err, "listen for heartbeats")
	}
	g.prepare(conn)
	kernel := registrar.New(g.Log, g.Clock)
	kernel.StopTimeout = stopTimeout
	for _, s := range g.services() {
		if err := kernel.Register(s); err != nil {
			return err
		}
	}
	g.Log.Info().Str("name", g.Settings.Name).Str("address", g.Settings.ClientListen).Uint64("epoch", g.epoch).Msg("gateway starts")
	err = kernel.Run(ctx)
	g.Log.Info().Err(err).Msg("gateway stops")
	return err
}

// prepare connects the parts of the gateway.
func (g *Gateway) prepare(conn net.PacketConn) {
	store := g.Adapter.Store
	var readStore storer.Store
	readStore, g.configUpstream = g.readThroughWatchers(store, g.Settings.ConfigPrefix)
	g.configFollower = follower.New(readStore, g.Settings.ConfigPrefix, g.Clock)
	g.auditor = auditor.New(g.Clock, g.handleMissedChanges)
	g.auditor.OnComplete = g.confirmOwnCopies
	g.configFollower.ObserveRevision = g.auditor.RecordChange
	g.configFollower.Log, g.configFollower.Apply, g.configFollower.FetchFromPeer = g.Log, g.applyConfig, g.fetchNewerCopy
	g.configFollower.Compare, g.configFollower.KeepMissing, g.configFollower.OnNewEra = g.compareConfigs, true, g.HandleNewEra
	g.configFollower.Behind = func() bool { return g.peerRevisions.newest().config > g.configVersion() }
	readStore, g.targetUpstream = g.readThroughWatchers(store, g.Settings.TargetsPrefix)
	g.targetFollower = follower.New(readStore, g.Settings.TargetsPrefix, g.Clock)
	g.targetFollower.ObserveRevision = g.auditor.RecordChange
	g.targetFollower.Log, g.targetFollower.Apply, g.targetFollower.FetchFromPeer = g.Log, g.applyTarget, g.fetchNewerCopy
	g.targetFollower.Compare, g.targetFollower.OnNewEra = g.compareTargets, g.HandleNewEra
	g.configFollower.OnList, g.targetFollower.OnList = g.configUpstream.recordList, g.targetUpstream.recordList
	g.targetFollower.WasAvailable, g.targetFollower.OutageReturnTime = g.storeWasAvailable, g.outageReturnTime
	g.targetFollower.MaxRemovalDelay = max(g.Settings.DrainTime-removalSpread, 0)

	g.poster = poster.New(g.Settings.Name, conn, g.Clock)
	g.poster.Log = g.Log
	g.tracker = g.newTracker()
	g.gossiper = &gossiper.Gossiper{
		Self:  g.Settings.Name,
		Peers: g.others, FullUpdatePeers: g.successors, Update: g.buildUpdate, Receive: g.handleUpdate, Send: g.poster.Notify, Clock: g.Clock, Log: g.Log,
	}
	g.poster.Handle(gossiper.Method, g.gossiper.Handle)
	g.poster.Handle(revisionsMethod, g.handleRevisions)

	r := g.relayer
	r.Backend, r.Budget, r.Log = g.Adapter.Backend, g.Settings.RetryBudget, g.Log
	if !g.Settings.FirstStart {
		r.Budget.ProcessStart = g.started
	}
	r.DrainTime = g.Settings.DrainTime
	g.fleetSize.Window = g.Settings.RetryBudget.Window
	r.Sharers = func() int { return g.fleetSize.Max(g.Clock.Now()) }
	r.Chooser.Daemons = func() int { return len(g.others()) + 1 }
	r.Chooser.HasFleetLoads = g.gossiper.Mesh
	g.prepareTallier()
	r.Chooser.DataCentre = cataloger.DataCentre(g.Settings.DataCentre)
	r.OnTargetLost = func(cataloger.Target) { g.gossiper.NotifyUrgent() }
	r.OnTargetLeaving = func(cataloger.Target) { g.gossiper.NotifyUrgent() }
	r.OnEvidence, r.OnLimit = g.gossiper.NotifyUrgent, g.gossiper.NotifyUrgent
	r.Throttler.Self, r.Throttler.Owner, r.Throttler.Send = g.Settings.Name, g.limitOwner, g.sendPermitRequest
	r.Throttler.Daemons = func() int { return g.fleetSize.Max(g.Clock.Now()) }
	g.poster.Handle(permitRequestMethod, g.handlePermitRequest)
	g.poster.Handle(permitReplyMethod, g.handlePermitReply)
	r.Quarantiner.Log, r.Quarantiner.TrialRank = g.Log, g.trialRank

	g.prepareLinks()
	r.LinkLostSince, r.CheckLink = g.links.LostSince, g.links.Check

	g.prepareOrderer()

	l := leaser.New(cataloger.Member{Name: g.Settings.Name, Epoch: g.epoch})
	l.Store, l.Clock, l.Log, l.Duration = g.auditedStore(store), g.Clock, g.Log, leaseDuration
	l.Random, l.Metrics = rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())), metrics.NewRegistry()
	g.duty.leaser = l
	g.client = newServer(g.countRequests(g.Adapter.Client))
}

// prepareOrderer connects the placement of layers.
func (g *Gateway) prepareOrderer() {
	g.orderer.Log = g.Log
	g.orderer.Services = func() []matcher.Service {
		if m := g.config.Load(); m != nil {
			return m.Services()
		}
		return nil
	}
	g.orderer.FirstStart = g.Settings.FirstStart
	g.orderer.Fill = func(s matcher.Service) float64 {
		m := g.config.Load()
		return g.relayer.Chooser.Fill(chooser.Demand{Service: s.Name, Engine: s.Engine, SharesLoads: m != nil && m.SharesLoads(s.Name)})
	}
	g.orderer.HoldsDuty, g.orderer.Place, g.orderer.Report = g.holdsDuty, g.Adapter.Place, g.Adapter.Backend.Report
}

// auditedStore returns the store with its writes reported to the auditor.
func (g *Gateway) auditedStore(store storer.Store) storer.Store {
	put := store.Put
	store.Put = func(ctx context.Context, key string, value []byte, expected storer.Point) (storer.Point, error) {
		sent := g.Clock.Now()
		version, err := put(ctx, key, value, expected)
		if err == nil {
			g.recordStoreAnswer(g.Clock.Now())
			g.auditor.RecordWrite(version, sent)
		}
		return version, err
	}
	return store
}

// handleMissedChanges makes the followers read everything again, as a watch has not delivered what was written.
func (g *Gateway) handleMissedChanges() {
	g.Log.Info().Msg("changes were missed, reading all objects again")
	g.configFollower.MarkMissedChanges()
	g.targetFollower.MarkMissedChanges()
}

func (g *Gateway) rereadStore() {
	g.configFollower.RequestList()
	g.targetFollower.RequestList()
}

// reachesStore reports whether the store answered the last calls.
func (g *Gateway) reachesStore() bool {
	return !g.targetFollower.Failing() && !g.configFollower.Failing()
}

func (g *Gateway) services() []registrar.Service {
	return []registrar.Service{
		{Name: "config", Run: g.configFollower.Run},
		{Name: "targets", Run: g.targetFollower.Run},
		{Name: "poster", Run: g.poster.Run},
		{Name: "tracker", Needs: []string{"poster"}, Run: g.tracker.Run},
		{Name: "members", Needs: []string{"tracker"}, Run: g.watchMembers},
		{Name: "gossiper", Needs: []string{"members"}, Run: g.gossiper.Run},
		{Name: "tallier", Needs: []string{"members"}, Run: g.tallier.Run},
		{Name: "register", Needs: []string{"members"}, Run: g.register},
		{Name: "lag", Needs: []string{"config", "targets", "gossiper"}, Run: g.watchLag},
		{Name: "peers", Run: serve(g.Settings.PeerListen, newServer(withoutBody(g.peerHandler())), g.newLimits(peerShare, true))},
		{Name: "control", Run: serveOptional(g.Settings.ControlListen, newServer(withoutBody(g.peerHandler())), g.newLimits(controlShare, true))},
		{Name: "metrics", Run: serveOptional(g.Settings.MetricsListen, newServer(withoutBody(g.metricsHandler())), g.newLimits(0, true))},
		{Name: "leaser", Run: g.duty.leaser.Run},
		{Name: "duty", Needs: []string{"leaser", "gossiper"}, Run: g.runDuty},
		{Name: "orderer", Needs: []string{"duty", "config", "targets"}, Run: g.orderer.Run},
		{Name: "links", Needs: []string{"members"}, Run: g.links.Run},
		{Name: "watchdog", Needs: []string{"targets"}, Run: g.relayer.Watch},
		{Name: "ready", Run: serve(g.Settings.ReadyListen, newServer(withoutBody(g.Adapter.Ready)), g.newLimits(readyShare, false))},
		{
			Name: "resolve", Needs: []string{"members"},
			Run: serve(g.Settings.ResolveListen, newServer(withoutBody(g.Adapter.Resolve)), g.newLimits(resolveShare, false)),
		},
		{
			Name: "client", Needs: []string{"config", "targets", "watchdog", "ready", "resolve", "peers"},
			Run: serve(g.Settings.ClientListen, g.client, g.newLimits(clientShare, false)), Stop: g.drain,
		},
	}
}

// applyConfig puts a newer configuration in force.
func (g *Gateway) applyConfig(o storer.Object, deleted bool) {
	if deleted {
		g.Log.Warn().Str("key", o.Key).Msg("configuration deleted, the last one stays in force")
		return
	}
	d, err := g.Adapter.DecodeConfig(o.Value)
	if err != nil {
		g.Log.Error().Str("key", o.Key).Err(err).Msg("failed to decode configuration")
		return
	}
	if m := g.config.Load(); m != nil && m.Version() >= d.Version {
		return
	}
	g.config.Store(matcher.New(d))
	log := g.Log.Info().Uint64("version", d.Version).Int("routes", len(d.Routes)).Int("workspaces", len(d.Workspaces)).
		Str("source", g.configUpstream.sourceName())
	if announced, at := g.peerRevisions.newestConfig(); announced >= d.Version {
		log = log.Dur("since-heard", g.Clock.Now().Sub(at))
	}
	log.Msg("configuration in force")
}

// applyTarget applies a change of a target.
func (g *Gateway) applyTarget(o storer.Object, deleted bool) {
	name := strings.TrimPrefix(o.Key, g.Settings.TargetsPrefix)
	if deleted {
		g.targets.Remove(name)
		g.relayer.Pacer.Forget(name)
		g.Log.Info().Str("target", name).Msg("target removed")
		return
	}
	t, err := g.Adapter.DecodeTarget(o.Key, o.Value)
	if err != nil {
		g.targets.Remove(name)
		g.Log.Warn().Str("target", name).Err(err).Msg("entry names no usable target")
		return
	}
	before, known := g.targets.Get(name)
	g.targets.Put(t)
	g.updatePace(before.Target, known, t)
	first, end, _ := t.ReadyLayers()
	g.Log.Info().Str("target", name).Str("address", t.Address).Str("state", string(t.State)).Uint64("incarnation", t.Incarnation).
		Uint32("first", first).Uint32("end", end).Msg("target listed")
}
