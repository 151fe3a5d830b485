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
	"github.com/rattantray/rattantray/internal/follower"
	"github.com/rattantray/rattantray/internal/gossiper"
	"github.com/rattantray/rattantray/internal/leaser"
	"github.com/rattantray/rattantray/internal/matcher"
	"github.com/rattantray/rattantray/internal/orderer"
	"github.com/rattantray/rattantray/internal/poster"
	"github.com/rattantray/rattantray/internal/rationer"
	"github.com/rattantray/rattantray/internal/registrar"
	"github.com/rattantray/rattantray/internal/relayer"
	"github.com/rattantray/rattantray/internal/storer"
	"github.com/rattantray/rattantray/internal/timer"
	"github.com/rattantray/rattantray/internal/tracker"
	"github.com/rattantray/rattantray/pkg/refuser"
)

const (
	// leaseDuration is how long the duty of placing layers outlasts its holder. A third of it is the time between the
	// holder's writes, by which missed changes are noticed; with the auditor's grace and a list, this stays under the two
	// seconds that a change of the configuration may take.
	leaseDuration = 2 * time.Second
	// peersPrefix is where daemons leave their peer addresses for those that start later.
	peersPrefix = "gateways/"
	stopTimeout = 30 * time.Second
)

// Settings are those of one gateway.
type Settings struct {
	Name       string
	DataCentre string
	Region     string
	// ClientListen, ReadyListen and ResolveListen are host:port; PeerListen is for datagrams and HTTP of other gateways, and
	// ControlListen, where it is set, serves the same HTTP.
	ClientListen  string
	ReadyListen   string
	ResolveListen string
	PeerListen    string
	ControlListen string
	// MetricsListen serves the metrics; empty where they are not wanted.
	MetricsListen string
	// Seeds are peer addresses that may be stale.
	Seeds []string
	// FirstStart says that the whole fleet starts for the first time, before any request.
	FirstStart bool
	// Grace is the time between the signal to stop and the kill.
	Grace time.Duration
	// DrainTime is how long targets serve after they were listed as leaving.
	DrainTime   time.Duration
	RetryBudget rationer.Budget
	// ConfigPrefix and TargetsPrefix are the keys of the store that hold the configuration and the targets.
	ConfigPrefix  string
	TargetsPrefix string
}

// Adapter translates between the gateway and the platform that it runs on.
type Adapter struct {
	Store        storer.Store
	DecodeConfig func(value []byte) (matcher.Document, error)
	// DecodeTarget returns the target of an object; an error says that the object names none to use.
	DecodeTarget func(key string, value []byte) (cataloger.Target, error)
	Backend      relayer.Backend
	Place        func(ctx context.Context, target cataloger.Target, p orderer.Placement) (orderer.Result, error)
	// Client, Resolve and Ready serve clients, those who ask for addresses, and health checks.
	Client  http.Handler
	Resolve http.Handler
	Ready   http.Handler
}

// Gateway is one daemon; set its exported fields before Run.
type Gateway struct {
	Settings Settings
	Adapter  Adapter
	Clock    timer.Clock
	Log      zerolog.Logger

	// fetch asks a peer for objects or changes.
	fetch func(ctx context.Context, address, path string, query url.Values) (*peerv1.GatewayObjects, error)

	epoch    uint64
	config   atomic.Pointer[matcher.Matcher]
	targets  *assessor.Assessor
	relayer  *relayer.Relayer
	orderer  *orderer.Orderer
	gossiper *gossiper.Gossiper
	poster   *poster.Poster
	tracker  *tracker.Tracker
	members  atomic.Pointer[membership]
	started  time.Time
	heard    heard
	// size is that of the fleet within the window of the retry budget.
	size rationer.Peak
	// configs and listed follow the configuration and the targets.
	configs *follower.Follower
	listed  *follower.Follower
	// configsUp and listedUp are where they read.
	configsUp *upstream
	listedUp  *upstream
	auditor   *auditor.Auditor
	duty      duty
	client    *http.Server
	leaving   atomic.Bool
	// departures are those of all daemons, this one among them.
	departures departures
	active     atomic.Int64
	// era is the latest of the store's that was noticed, and eras counts how often it rose.
	era  atomic.Uint64
	eras atomic.Int64
}

// New returns a gateway; Prepare makes it ready to Run.
func New(s Settings, clock timer.Clock, log zerolog.Logger) *Gateway {
	g := &Gateway{Settings: s, Clock: clock, Log: log, fetch: fetchObjects}
	g.epoch = uint64(clock.Now().UnixMilli())
	g.started = clock.Now()
	g.members.Store(&membership{})
	g.targets = assessor.New(clock.Now)
	g.relayer = relayer.New(g.targets, clock)
	g.orderer = orderer.New(g.targets, clock)
	return g
}

// Relayer returns what relays the requests that Matcher allows.
func (g *Gateway) Relayer() *relayer.Relayer { return g.relayer }

// Matcher returns the configuration in force, nil where none is known yet.
func (g *Gateway) Matcher() *matcher.Matcher { return g.config.Load() }

// Refused takes in that a request was refused before it could be relayed.
func (g *Gateway) Refused(id, host, path string, refusal *refuser.Refusal) {
	g.relayer.Refused(id, host, path, g.configVersion(), refusal)
}

// configVersion returns the version of the configuration in force, 0 where none is known yet.
func (g *Gateway) configVersion() uint64 {
	if m := g.config.Load(); m != nil {
		return m.Version()
	}
	return 0
}

// Leaving tells whether the daemon shuts down.
func (g *Gateway) Leaving() bool { return g.leaving.Load() }

// Ready tells whether the daemon takes requests.
func (g *Gateway) Ready() bool {
	_, listed := g.listed.Revision()
	return g.config.Load() != nil && listed && !g.leaving.Load()
}

// SetSeeds takes other addresses of peers, from settings that changed.
func (g *Gateway) SetSeeds(ctx context.Context, seeds []string) { g.tracker.AddSeeds(ctx, seeds...) }

// Entries returns the addresses that clients may connect to; where all daemons leave, that of the last, which stands in.
func (g *Gateway) Entries() []string {
	var ready, leaving []string
	addresses := map[string]string{}
	for _, m := range g.all() {
		addresses[m.Name] = m.Address
		switch {
		case takesRequests(m):
			ready = append(ready, m.Address)
		case m.State == cataloger.StateLeaving:
			leaving = append(leaving, m.Name)
		}
	}
	if len(ready) > 0 || len(leaving) == 0 {
		return ready
	}
	return []string{addresses[g.departures.Last(leaving)]}
}

// Run serves until ctx is done, and then shuts down without cutting requests off.
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

// prepare ties the parts together.
func (g *Gateway) prepare(conn net.PacketConn) {
	store := g.Adapter.Store
	var through storer.Store
	through, g.configsUp = g.through(store, g.Settings.ConfigPrefix)
	g.configs = follower.New(through, g.Settings.ConfigPrefix, g.Clock)
	g.auditor = auditor.New(g.Clock, g.missed)
	g.configs.ObserveRevision = g.auditor.See
	g.configs.Log, g.configs.Apply, g.configs.FetchFromPeer = g.Log, g.applyConfig, g.askPeers
	g.configs.Compare, g.configs.KeepMissing, g.configs.OnNewEra = g.compareConfigs, true, g.EraRose
	g.configs.Behind = func() bool { return g.heard.newest().config > g.configVersion() }
	through, g.listedUp = g.through(store, g.Settings.TargetsPrefix)
	g.listed = follower.New(through, g.Settings.TargetsPrefix, g.Clock)
	g.listed.ObserveRevision = g.auditor.See
	g.listed.Log, g.listed.Apply, g.listed.FetchFromPeer = g.Log, g.applyTarget, g.askPeers
	g.listed.Compare, g.listed.OnNewEra = g.compareTargets, g.EraRose

	g.poster = poster.New(g.Settings.Name, conn, g.Clock)
	g.poster.Log = g.Log
	g.tracker = g.newTracker()
	g.gossiper = &gossiper.Gossiper{
		Peers: g.others, Always: g.successors, Update: g.update, Receive: g.receive, Send: g.poster.Notify, Clock: g.Clock, Log: g.Log,
	}
	g.poster.Handle(gossiper.Method, g.gossiper.Handle)
	g.poster.Handle(revisionsMethod, g.handleRevisions)

	r := g.relayer
	r.Backend, r.Budget, r.Log = g.Adapter.Backend, g.Settings.RetryBudget, g.Log
	if !g.Settings.FirstStart {
		r.Budget.Since = g.started
	}
	r.DrainTime = g.Settings.DrainTime
	g.size.Window = g.Settings.RetryBudget.Window
	r.Sharers = func() int { return g.size.Max(g.Clock.Now()) }
	r.Chooser.Daemons = func() int { return len(g.others()) + 1 }
	r.Chooser.LoadsKnown = g.gossiper.Mesh
	r.Chooser.DataCentre = cataloger.DataCentre(g.Settings.DataCentre)
	r.Lost = func(cataloger.Target) { g.gossiper.NotifyUrgent() }
	r.Left = func(cataloger.Target) { g.gossiper.NotifyUrgent() }

	g.orderer.Log = g.Log
	g.orderer.Services = func() []matcher.Service {
		if m := g.config.Load(); m != nil {
			return m.Services()
		}
		return nil
	}
	g.orderer.HoldsDuty, g.orderer.Place, g.orderer.Report = g.holdsDuty, g.Adapter.Place, g.Adapter.Backend.Report

	l := leaser.New(cataloger.Member{Name: g.Settings.Name, Epoch: g.epoch})
	l.Store, l.Clock, l.Log, l.Duration = g.audited(store), g.Clock, g.Log, leaseDuration
	l.Random, l.Metrics = rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())), metrics.NewRegistry()
	g.duty.leaser = l
	g.client = newServer(g.count(g.Adapter.Client))
}

// audited returns the store with its writes told to the auditor.
func (g *Gateway) audited(store storer.Store) storer.Store {
	put := store.Put
	store.Put = func(ctx context.Context, key string, value []byte, expected storer.Point) (storer.Point, error) {
		version, err := put(ctx, key, value, expected)
		if err == nil {
			g.auditor.Wrote(version)
		}
		return version, err
	}
	return store
}

// missed reads everything anew, as a watch has not brought what was written.
func (g *Gateway) missed() {
	g.Log.Info().Msg("changes were missed, reading anew")
	g.configs.MarkMissedChanges()
	g.listed.MarkMissedChanges()
}

func (g *Gateway) readAnew() {
	g.configs.RequestList()
	g.listed.RequestList()
}

// reachesStore tells whether the store answered the last calls.
func (g *Gateway) reachesStore() bool { return !g.listed.Failing() && !g.configs.Failing() }

func (g *Gateway) services() []registrar.Service {
	return []registrar.Service{
		{Name: "config", Run: g.configs.Run},
		{Name: "targets", Run: g.listed.Run},
		{Name: "poster", Run: g.poster.Run},
		{Name: "tracker", Needs: []string{"poster"}, Run: g.tracker.Run},
		{Name: "members", Needs: []string{"tracker"}, Run: g.watchMembers},
		{Name: "gossiper", Needs: []string{"members"}, Run: g.gossiper.Run},
		{Name: "register", Needs: []string{"members"}, Run: g.register},
		{Name: "lag", Needs: []string{"config", "targets", "gossiper"}, Run: g.watchLag},
		{Name: "peers", Run: serve(g.Settings.PeerListen, newServer(g.peerHandler()))},
		{Name: "control", Run: g.serveOptional(g.Settings.ControlListen, g.peerHandler())},
		{Name: "metrics", Run: g.serveOptional(g.Settings.MetricsListen, g.metricsHandler())},
		{Name: "leaser", Run: g.duty.leaser.Run},
		{Name: "duty", Needs: []string{"leaser", "gossiper"}, Run: g.runDuty},
		{Name: "orderer", Needs: []string{"duty", "config", "targets"}, Run: g.orderer.Run},
		{Name: "watchdog", Needs: []string{"targets"}, Run: g.relayer.Watch},
		{Name: "ready", Run: serve(g.Settings.ReadyListen, newServer(g.Adapter.Ready))},
		{Name: "resolve", Needs: []string{"members"}, Run: serve(g.Settings.ResolveListen, newServer(g.Adapter.Resolve))},
		{
			Name: "client", Needs: []string{"config", "targets", "watchdog", "ready", "resolve", "peers"},
			Run: serve(g.Settings.ClientListen, g.client), Stop: g.drain,
		},
	}
}

// applyConfig puts a newer document in force.
func (g *Gateway) applyConfig(o storer.Object, deleted bool) {
	if deleted {
		g.Log.Warn().Str("key", o.Key).Msg("configuration was deleted, the last one stays in force")
		return
	}
	d, err := g.Adapter.DecodeConfig(o.Value)
	if err != nil {
		g.Log.Error().Str("key", o.Key).Err(err).Msg("configuration not understood")
		return
	}
	if m := g.config.Load(); m != nil && m.Version() >= d.Version {
		return
	}
	g.config.Store(matcher.New(d))
	log := g.Log.Info().Uint64("version", d.Version).Int("routes", len(d.Routes)).Int("workspaces", len(d.Workspaces)).
		Str("source", g.configsUp.sourceName())
	if heard, at := g.heard.newestConfig(); heard >= d.Version {
		log = log.Dur("since-heard", g.Clock.Now().Sub(at))
	}
	log.Msg("configuration in force")
}

// applyTarget takes a change of a target.
func (g *Gateway) applyTarget(o storer.Object, deleted bool) {
	name := strings.TrimPrefix(o.Key, g.Settings.TargetsPrefix)
	if deleted {
		g.targets.Remove(name)
		g.Log.Info().Str("target", name).Msg("target removed")
		return
	}
	t, err := g.Adapter.DecodeTarget(o.Key, o.Value)
	if err != nil {
		g.targets.Remove(name)
		g.Log.Warn().Str("target", name).Err(err).Msg("entry names no target to use")
		return
	}
	g.targets.Put(t)
	first, end, _ := t.Held()
	g.Log.Info().Str("target", name).Str("address", t.Address).Str("state", string(t.State)).Uint64("incarnation", t.Incarnation).
		Uint32("first", first).Uint32("end", end).Msg("target listed")
}
