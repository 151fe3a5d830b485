package gateway

import (
	"context"
	"io"
	"net/http"
	"net/url"
	"time"

	"google.golang.org/protobuf/proto"

	peerv1 "github.com/rattantray/rattantray/internal/api/rattantray/peer/v1"
	"github.com/rattantray/rattantray/internal/follower"
	"github.com/rattantray/rattantray/internal/orderer"
	"github.com/rattantray/rattantray/internal/storer"
)

const (
	objectsPath = "/objects"
	// askTimeout bounds the fetching of a copy from a peer.
	askTimeout = time.Second
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
		StoreReachable: !g.listed.Failing(), HoldsDuty: g.duty.valid(), TargetsRevision: g.listed.Changed(), Loads: map[string]float32{},
	}
	if m := g.config.Load(); m != nil {
		h.ConfigVersion = m.Version()
	}
	for _, d := range g.targets.Doubts() {
		h.Doubts = append(h.Doubts, &peerv1.TargetDoubt{
			Target: d.Target, Incarnation: d.Incarnation, AgeMs: uint32(now.Sub(d.Since).Milliseconds()),
		})
	}
	for name, n := range g.targets.Loads() {
		h.Loads[name] = float32(n)
	}
	for _, p := range g.orderer.Pending() {
		h.Orders = append(h.Orders, &peerv1.PendingOrder{
			Target: p.Target, Incarnation: p.Incarnation, FirstLayer: p.First, EndLayer: p.End,
			AgeMs: uint32(now.Sub(p.At).Milliseconds()), LeftMs: uint32(max(p.Until.Sub(now), 0).Milliseconds()),
		})
	}
	return h
}

// receive takes what another daemon tells.
func (g *Gateway) receive(h *peerv1.GatewayHeartbeat) {
	now := g.Clock.Now()
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

var peerClient = &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}

func fetchCopy(ctx context.Context, address, prefix string) (follower.Copy, error) {
	u := url.URL{Scheme: "http", Host: address, Path: objectsPath, RawQuery: url.Values{"prefix": {prefix}}.Encode()}
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, u.String(), nil)
	if err != nil {
		return follower.Copy{}, err
	}
	resp, err := peerClient.Do(req)
	if err != nil {
		return follower.Copy{}, err
	}
	defer func() { _ = resp.Body.Close() }()
	data, err := io.ReadAll(io.LimitReader(resp.Body, maxCopy))
	if err != nil {
		return follower.Copy{}, err
	}
	message := &peerv1.GatewayObjects{}
	if err := proto.Unmarshal(data, message); err != nil {
		return follower.Copy{}, err
	}
	c := follower.Copy{Revision: message.GetRevision()}
	for _, o := range message.GetItems() {
		c.Objects = append(c.Objects, storer.Object{Key: o.GetKey(), Value: o.GetValue(), Version: o.GetVersion()})
	}
	return c, nil
}

// peerHandler serves copies to peers that can't reach the store.
func (g *Gateway) peerHandler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+objectsPath, func(w http.ResponseWriter, r *http.Request) {
		f := g.listed
		if r.URL.Query().Get("prefix") == g.Settings.ConfigPrefix {
			f = g.configs
		}
		c, ok := f.Copy()
		if !ok {
			http.Error(w, "nothing is known yet", http.StatusServiceUnavailable)
			return
		}
		message := &peerv1.GatewayObjects{Revision: c.Revision}
		for _, o := range c.Objects {
			message.Items = append(message.Items, &peerv1.GatewayObject{Key: o.Key, Value: o.Value, Version: o.Version})
		}
		data, err := proto.Marshal(message)
		if err != nil {
			http.Error(w, err.Error(), http.StatusInternalServerError)
			return
		}
		w.Header().Set("Content-Type", "application/protobuf")
		_, _ = w.Write(data)
	})
	return mux
}

// runControl serves peers on the platform's address for control, too.
func (g *Gateway) runControl(ctx context.Context) error {
	if g.Settings.ControlListen == "" {
		<-ctx.Done()
		return nil
	}
	return serve(g.Settings.ControlListen, newServer(g.peerHandler()))(ctx)
}
