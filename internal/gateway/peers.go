package gateway

import (
	"cmp"
	"context"
	"io"
	"maps"
	"net/http"
	"net/url"
	"slices"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"
	"google.golang.org/protobuf/proto"

	peerv1 "github.com/rattantray/rattantray/internal/api/rattantray/peer/v1"
	"github.com/rattantray/rattantray/internal/follower"
	"github.com/rattantray/rattantray/internal/gossiper"
	"github.com/rattantray/rattantray/internal/orderer"
	"github.com/rattantray/rattantray/internal/storer"
)

const (
	objectsPath = "/objects"
	changesPath = "/changes"
	// askTimeout bounds the fetching of a copy from a peer.
	askTimeout = time.Second
	// maxLoads bounds the targets whose load a heartbeat names: about 8 KB.
	maxLoads = 400
	// maxCopy bounds a copy, in bytes.
	maxCopy = 32 << 20
)

// heartbeat returns what this daemon tells the others.
func (g *Gateway) heartbeat() *peerv1.GatewayHeartbeat {
	now := g.Clock.Now()
	h := &peerv1.GatewayHeartbeat{
		Name: g.Settings.Name, Epoch: g.epoch, DataCentre: g.Settings.DataCentre, Region: g.Settings.Region,
		ClientAddress: g.Settings.ClientListen, PeerAddress: g.Settings.PeerListen,
		Ready: g.Ready(), Leaving: g.leaving.Load(),
		StoreReachable: g.reachesStore(), HoldsDuty: g.duty.valid(), TargetsRevision: g.listed.Changed(), Loads: map[string]float32{}, Paces: map[string]float32{},
	}
	if m := g.config.Load(); m != nil {
		h.ConfigVersion = m.Version()
	}
	for _, d := range g.targets.Doubts() {
		h.Doubts = append(h.Doubts, &peerv1.TargetDoubt{
			Target: d.Target, Incarnation: d.Incarnation, AgeMs: uint32(now.Sub(d.Since).Milliseconds()),
		})
	}
	for _, d := range g.targets.Departures() {
		h.Departures = append(h.Departures, &peerv1.TargetDoubt{
			Target: d.Target, Incarnation: d.Incarnation, AgeMs: uint32(max(now.Sub(d.Since), 0).Milliseconds()),
		})
	}
	for name, n := range largest(g.targets.Loads(), maxLoads) {
		h.Loads[name] = float32(n)
	}
	for name, pace := range g.targets.Paces() {
		h.Paces[name] = float32(pace)
	}
	for _, p := range g.orderer.Pending() {
		h.Orders = append(h.Orders, &peerv1.PendingOrder{
			Target: p.Target, Incarnation: p.Incarnation, FirstLayer: p.First, EndLayer: p.End,
			AgeMs: uint32(now.Sub(p.At).Milliseconds()), LeftMs: uint32(max(p.Until.Sub(now), 0).Milliseconds()),
		})
	}
	return h
}

// largest returns the n largest loads, as a heartbeat is one datagram.
func largest(loads map[string]float64, n int) map[string]float64 {
	if len(loads) <= n {
		return loads
	}
	names := slices.SortedFunc(maps.Keys(loads), func(a, b string) int {
		return cmp.Or(cmp.Compare(loads[b], loads[a]), cmp.Compare(a, b))
	})
	out := map[string]float64{}
	for _, name := range names[:n] {
		out[name] = loads[name]
	}
	return out
}

// receive takes what another daemon tells.
func (g *Gateway) receive(h *peerv1.GatewayHeartbeat) {
	now := g.Clock.Now()
	g.departures.See(h.GetName(), h.GetEpoch(), h.GetLeaving(), now)
	loads := map[string]float64{}
	for name, n := range h.GetLoads() {
		loads[name] = float64(n)
	}
	g.targets.SetPeerLoads(h.GetName(), loads)
	for _, d := range h.GetDoubts() {
		since := now.Add(-time.Duration(d.GetAgeMs()) * time.Millisecond)
		if g.targets.Lose(d.GetTarget(), d.GetIncarnation(), since) {
			g.Log.Info().Str("target", d.GetTarget()).Str("peer", h.GetName()).Msg("target believed lost by a peer")
		}
	}
	for _, d := range h.GetDepartures() {
		since := now.Add(-time.Duration(d.GetAgeMs()) * time.Millisecond)
		if g.targets.Leave(d.GetTarget(), d.GetIncarnation(), since) {
			g.Log.Info().Str("target", d.GetTarget()).Str("peer", h.GetName()).Msg("a peer was told that the target leaves")
		}
	}
	for name, pace := range h.GetPaces() {
		// A moment is taken off, so that the news is not passed on as this daemon's own.
		g.targets.SetPace(name, float64(pace), now.Add(-gossiper.Interval))
	}
	for _, p := range h.GetOrders() {
		g.orderer.Learn(orderer.Pending{
			Target: p.GetTarget(), Incarnation: p.GetIncarnation(), First: p.GetFirstLayer(), End: p.GetEndLayer(),
			At:    now.Add(-time.Duration(p.GetAgeMs()) * time.Millisecond),
			Until: now.Add(time.Duration(p.GetLeftMs()) * time.Millisecond),
		})
	}
}

// gone forgets what a silent daemon had in progress.
func (g *Gateway) gone(name string) {
	g.targets.SetPeerLoads(name, nil)
	g.Log.Info().Str("peer", name).Msg("peer gone")
}

// watchLag has the followers list anew where a peer has known more for a while.
func (g *Gateway) watchLag(ctx context.Context) error {
	var configLag, targetsLag time.Time
	for g.Clock.Sleep(ctx, lagPause/4) == nil {
		var config, targets uint64
		for _, h := range g.gossiper.Alive() {
			config = max(config, h.GetConfigVersion())
			targets = max(targets, h.GetTargetsRevision())
		}
		var version uint64
		if m := g.config.Load(); m != nil {
			version = m.Version()
		}
		revision, _ := g.listed.Revision()
		configLag = g.checkLag(config > version, configLag, g.configs)
		targetsLag = g.checkLag(targets > revision, targetsLag, g.listed)
	}
	return nil
}

// checkLag returns since when a follower lags, zero where it does not.
func (g *Gateway) checkLag(lags bool, since time.Time, f *follower.Follower) time.Time {
	now := g.Clock.Now()
	switch {
	case !lags:
		return time.Time{}
	case since.IsZero():
		return now
	case now.Sub(since) >= lagPause:
		f.Nudge()
		return now
	}
	return since
}

// askPeers fetches the copy of a peer that knows more than a revision.
func (g *Gateway) askPeers(ctx context.Context, prefix string, revision uint64) (follower.Copy, bool) {
	ctx, cancel := context.WithTimeout(ctx, askTimeout)
	defer cancel()
	for _, h := range g.gossiper.Alive() {
		if prefix == g.Settings.TargetsPrefix && h.GetTargetsRevision() <= revision {
			continue
		}
		if m := g.config.Load(); prefix == g.Settings.ConfigPrefix && m != nil && h.GetConfigVersion() <= m.Version() {
			continue
		}
		c, err := fetchCopy(ctx, h.GetPeerAddress(), prefix)
		if err == nil && c.Revision > revision {
			return c, true
		}
		g.Log.Debug().Err(err).Str("peer", h.GetName()).Str("prefix", prefix).Msg("peer has no newer copy")
	}
	return follower.Copy{}, false
}

// peerClient keeps a connection to each watcher that is followed.
var peerClient = &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 2, IdleConnTimeout: 10 * time.Second}}

// fetchObjects asks a peer for objects or changes.
func fetchObjects(ctx context.Context, address, path string, query url.Values) (*peerv1.GatewayObjects, error) {
	u := url.URL{Scheme: "http", Host: address, Path: path, RawQuery: query.Encode()}
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, u.String(), nil)
	if err != nil {
		return nil, err
	}
	resp, err := peerClient.Do(req)
	if err != nil {
		return nil, err
	}
	defer func() { _ = resp.Body.Close() }()
	data, err := io.ReadAll(io.LimitReader(resp.Body, maxCopy))
	if err != nil {
		return nil, err
	}
	if resp.StatusCode != http.StatusOK {
		return nil, errors.Newf("%s answered %d", address, resp.StatusCode)
	}
	message := &peerv1.GatewayObjects{}
	return message, proto.Unmarshal(data, message)
}

func fetchCopy(ctx context.Context, address, prefix string) (follower.Copy, error) {
	message, err := fetchObjects(ctx, address, objectsPath, url.Values{"prefix": {prefix}})
	if err != nil {
		return follower.Copy{}, err
	}
	c := follower.Copy{Revision: message.GetRevision()}
	for _, o := range message.GetItems() {
		c.Objects = append(c.Objects, storer.Object{Key: o.GetKey(), Value: o.GetValue(), Version: o.GetVersion()})
	}
	return c, nil
}

// peerHandler serves copies and changes of what this daemon follows.
func (g *Gateway) peerHandler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+objectsPath, g.serveObjects)
	mux.HandleFunc("GET "+changesPath, g.serveChanges)
	return mux
}

// followerOf returns what follows a prefix.
func (g *Gateway) followerOf(r *http.Request) *follower.Follower {
	if r.URL.Query().Get("prefix") == g.Settings.ConfigPrefix {
		return g.configs
	}
	return g.listed
}

func (g *Gateway) serveObjects(w http.ResponseWriter, r *http.Request) {
	c, ok := g.followerOf(r).Copy()
	if !ok {
		http.Error(w, "nothing is known yet", http.StatusServiceUnavailable)
		return
	}
	message := &peerv1.GatewayObjects{}
	for _, o := range c.Objects {
		message.Items = append(message.Items, &peerv1.GatewayObject{Key: o.Key, Value: o.Value, Version: o.Version})
	}
	g.writeObjects(w, message, c)
}

func (g *Gateway) serveChanges(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	cursor, err := strconv.ParseUint(query.Get("cursor"), 10, 64)
	if err != nil || query.Get("epoch") != strconv.FormatUint(g.epoch, 10) {
		http.Error(w, "the cursor is not of this process", http.StatusGone)
		return
	}
	changes, c, err := g.followerOf(r).Since(r.Context(), cursor, peerWait)
	if err != nil {
		http.Error(w, err.Error(), http.StatusGone)
		return
	}
	message := &peerv1.GatewayObjects{}
	for _, change := range changes {
		o := change.Object
		message.Items = append(message.Items, &peerv1.GatewayObject{Key: o.Key, Value: o.Value, Version: o.Version, Deleted: change.Deleted})
	}
	g.writeObjects(w, message, c)
}

func (g *Gateway) writeObjects(w http.ResponseWriter, message *peerv1.GatewayObjects, c follower.Copy) {
	message.Revision, message.Cursor, message.Epoch = c.Revision, c.Cursor, g.epoch
	data, err := proto.Marshal(message)
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Type", "application/protobuf")
	_, _ = w.Write(data)
}
