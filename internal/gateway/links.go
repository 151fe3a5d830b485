package gateway

import (
	"context"
	"net"
	"slices"

	"github.com/rattantray/rattantray/internal/cataloger"
	"github.com/rattantray/rattantray/internal/exchanger"
	"github.com/rattantray/rattantray/internal/tunneler"
)

// prepareLinks connects the links to targets and the door for those of other daemons.
func (g *Gateway) prepareLinks() {
	local := net.ParseIP(hostOf(g.Settings.PeerListen))
	client := tunneler.Client{Dial: func(ctx context.Context, address string) (net.Conn, error) {
		return exchanger.DialTCPFrom(ctx, local, address)
	}}
	g.links.Log, g.links.Peers, g.links.Detour = g.Log, g.tunnelPeers, client.Detour
	closeIdle := g.links.OnLost
	g.links.OnLost = func(address string) {
		closeIdle(address)
		g.relayer.LeaveLostLinks()
	}
	g.door = &tunneler.Door{
		Dial: g.links.DialDirect, Allows: g.allowsTunnel, Log: g.Log,
		Closed: func() bool { return g.leaving.Load() || g.links.CutOff() },
	}
}

// tunnelPeers returns the daemons that may reach targets which this one does not.
func (g *Gateway) tunnelPeers() []tunneler.Peer {
	var out []tunneler.Peer
	for _, m := range g.others() {
		if m.State == cataloger.StateLive && m.Traits&traitCutOff == 0 {
			out = append(out, tunneler.Peer{Name: m.Name, Address: m.PeerAddress, Near: m.DataCentre == cataloger.DataCentre(g.Settings.DataCentre)})
		}
	}
	return out
}

// allowsTunnel reports whether a tunnel leads from another daemon to a target.
func (g *Gateway) allowsTunnel(ip, address string) bool {
	_, isTarget := g.targets.ByAddress(address)
	return isTarget && slices.ContainsFunc(g.others(), func(m cataloger.Member) bool { return hostOf(m.PeerAddress) == ip })
}

// isCutOff reports whether another daemon has lost its links to the targets.
func (g *Gateway) isCutOff(peer string) bool {
	others := g.others()
	i := memberIndex(others, peer)
	return i >= 0 && others[i].Traits&traitCutOff != 0
}

// hostOf returns the host of host:port, or an empty string.
func hostOf(address string) string {
	host, _, err := net.SplitHostPort(address)
	if err != nil {
		return ""
	}
	return host
}
