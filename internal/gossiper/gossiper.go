package gossiper

import (
	"cmp"
	"context"
	"math/rand/v2"
	"net"
	"slices"
	"sync"
	"time"

	"github.com/rs/zerolog"
	"google.golang.org/protobuf/proto"

	peerv1 "github.com/rattantray/rattantray/internal/api/rattantray/peer/v1"
	"github.com/rattantray/rattantray/internal/timer"
)

const (
	// Interval is the time between two rounds of heartbeats.
	Interval = 250 * time.Millisecond
	// fanOut bounds the heartbeats of a round, so that what a daemon sends does not grow with the fleet.
	fanOut = 8
	// missed is how many heartbeats in a row a peer may miss before it counts as gone.
	missed = 4
	// strangerPause is the time between heartbeats to addresses that nobody answers at, and firstPause that of the first
	// SettleTime, when the others may be starting as well.
	strangerPause = 2 * time.Second
	firstPause    = 200 * time.Millisecond
	// SettleTime is how long a daemon needs to hear those that run, after its start.
	SettleTime = 1200 * time.Millisecond
	// quietTime without a new peer ends the start of a large fleet, at maxSettleTime at the latest.
	quietTime     = 600 * time.Millisecond
	maxSettleTime = 4 * time.Second
	// forgetTime is how long a peer that went silent is still tried.
	forgetTime = time.Minute
	// named is how many peers a heartbeat names.
	named = 8
	// maxDatagram is what one heartbeat may take.
	maxDatagram = 60 << 10
)

// peer is another daemon.
type peer struct {
	heartbeat *peerv1.GatewayHeartbeat
	heard     time.Time
}

// Gossiper sends and takes heartbeats; set its exported fields before Run.
type Gossiper struct {
	// Name is this daemon's.
	Name string
	// Self returns this daemon's heartbeat; Peers is filled in.
	Self func() *peerv1.GatewayHeartbeat
	// Receive takes each heartbeat of another daemon.
	Receive func(*peerv1.GatewayHeartbeat)
	// Gone takes the name of a daemon that went silent, or was replaced.
	Gone  func(name string)
	Conn  net.PacketConn
	Clock timer.Clock
	Log   zerolog.Logger

	mu    sync.Mutex
	peers map[string]*peer
	// strangers are addresses at which a daemon may be, with the time of the last heartbeat sent there.
	strangers map[string]time.Time
	turn      int
	started   time.Time
	// grown is when the last peer was heard for the first time.
	grown time.Time
}

// New returns a gossiper that knows no one.
func New(conn net.PacketConn, clock timer.Clock) *Gossiper {
	return &Gossiper{
		Conn: conn, Clock: clock, Log: zerolog.Nop(),
		Receive: func(*peerv1.GatewayHeartbeat) {}, Gone: func(string) {},
		started: clock.Now(), peers: map[string]*peer{}, strangers: map[string]time.Time{},
	}
}

// Learn takes addresses at which other daemons may be.
func (g *Gossiper) Learn(addresses ...string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, a := range addresses {
		if _, ok := g.strangers[a]; !ok && a != "" {
			g.strangers[a] = time.Time{}
		}
	}
}

// Run sends and takes heartbeats until ctx is done.
func (g *Gossiper) Run(ctx context.Context) error {
	stop := context.AfterFunc(ctx, func() { _ = g.Conn.Close() })
	defer stop()
	go g.receive(ctx)
	for ctx.Err() == nil {
		g.forget()
		g.Send()
		_ = g.Clock.Sleep(ctx, Interval)
	}
	return nil
}

// Send sends one round of heartbeats at once.
func (g *Gossiper) Send() {
	self := g.Self()
	addresses, heard := g.round(self.GetPeerAddress())
	self.Peers = heard
	data, err := proto.Marshal(self)
	if err != nil || len(data) > maxDatagram {
		g.Log.Error().Err(err).Int("bytes", len(data)).Msg("heartbeat not sent")
		return
	}
	for _, a := range addresses {
		to, err := net.ResolveUDPAddr("udp", a)
		if err != nil {
			g.Log.Warn().Err(err).Str("address", a).Msg("peer address not understood")
			continue
		}
		if _, err := g.Conn.WriteTo(data, to); err != nil {
			g.Log.Debug().Err(err).Str("address", a).Msg("heartbeat not sent")
		}
	}
}

// round returns the addresses of this round and some peers to name.
func (g *Gossiper) round(self string) (addresses, heard []string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := g.Clock.Now()
	pause := strangerPause
	if now.Sub(g.started) < SettleTime {
		pause = firstPause
	}
	var known []string
	for _, p := range g.peers {
		known = append(known, p.heartbeat.GetPeerAddress())
	}
	slices.Sort(known)
	for i := range min(fanOut, len(known)) {
		addresses = append(addresses, known[(g.turn+i)%len(known)])
	}
	g.turn += fanOut
	for a, sent := range g.strangers {
		if slices.Contains(known, a) || a == self {
			delete(g.strangers, a)
		} else if now.Sub(sent) >= pause {
			g.strangers[a] = now
			addresses = append(addresses, a)
		}
	}
	rand.Shuffle(len(known), func(i, j int) { known[i], known[j] = known[j], known[i] })
	return addresses, known[:min(named, len(known))]
}

func (g *Gossiper) receive(ctx context.Context) {
	buffer := make([]byte, maxDatagram)
	for ctx.Err() == nil {
		n, _, err := g.Conn.ReadFrom(buffer)
		if err != nil {
			if ctx.Err() == nil {
				g.Log.Debug().Err(err).Msg("heartbeat not read")
				_ = g.Clock.Sleep(ctx, Interval)
			}
			continue
		}
		h := &peerv1.GatewayHeartbeat{}
		if err := proto.Unmarshal(buffer[:n], h); err != nil || h.GetName() == "" || h.GetPeerAddress() == "" {
			g.Log.Warn().Err(err).Msg("heartbeat not understood")
			continue
		}
		if h.GetName() == g.Name {
			continue
		}
		if g.take(h) {
			g.Receive(h)
		}
	}
}

// take notes a heartbeat; one of an earlier start is passed over.
func (g *Gossiper) take(h *peerv1.GatewayHeartbeat) bool {
	g.mu.Lock()
	known, ok := g.peers[h.GetName()]
	if ok && known.heartbeat.GetEpoch() > h.GetEpoch() {
		g.mu.Unlock()
		return false
	}
	restarted := ok && known.heartbeat.GetEpoch() < h.GetEpoch()
	if !ok {
		g.grown = g.Clock.Now()
	}
	if !ok || restarted {
		g.Log.Info().Str("peer", h.GetName()).Uint64("epoch", h.GetEpoch()).Str("address", h.GetPeerAddress()).Msg("peer heard")
	}
	g.peers[h.GetName()] = &peer{heartbeat: h, heard: g.Clock.Now()}
	for _, a := range h.GetPeers() {
		if _, ok := g.strangers[a]; !ok {
			g.strangers[a] = time.Time{}
		}
	}
	g.mu.Unlock()
	if restarted {
		g.Gone(h.GetName())
	}
	return true
}

func (g *Gossiper) forget() {
	g.mu.Lock()
	now := g.Clock.Now()
	var gone []string
	for name, p := range g.peers {
		silent := now.Sub(p.heard)
		if silent > forgetTime {
			delete(g.peers, name)
		}
		if silent > g.patience() && silent <= g.patience()+2*Interval {
			gone = append(gone, name)
		}
	}
	g.mu.Unlock()
	for _, name := range gone {
		g.Gone(name)
	}
}

// patience is the silence after which a peer counts as gone; the caller holds mu.
func (g *Gossiper) patience() time.Duration {
	rounds := (len(g.peers) + fanOut - 1) / fanOut
	return time.Duration(missed*max(rounds, 1)) * Interval
}

// Settled tells whether the daemon has run long enough to know the others, and has heard of no new one for a while.
func (g *Gossiper) Settled() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := g.Clock.Now()
	ran := now.Sub(g.started)
	return ran >= SettleTime && (now.Sub(g.grown) >= quietTime || ran >= maxSettleTime)
}

// Alive returns the last heartbeats of the peers that are heard, by name; those that leave are among them.
func (g *Gossiper) Alive() []*peerv1.GatewayHeartbeat {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := g.Clock.Now()
	var out []*peerv1.GatewayHeartbeat
	for _, p := range g.peers {
		if now.Sub(p.heard) <= g.patience() {
			out = append(out, p.heartbeat)
		}
	}
	slices.SortFunc(out, func(a, b *peerv1.GatewayHeartbeat) int { return cmp.Compare(a.GetName(), b.GetName()) })
	return out
}
