package configurer

import (
	"time"

	peerv1 "github.com/rattantray/rattantray/internal/api/rattantray/peer/v1"
)

// applyExchange applies a peer's answer to a comparison of digests.
func (m *machine) applyExchange(now, sent time.Time, from peer, digest uint64, r *peerv1.ConfigExchangeResponse) []effect {
	if r.Ready {
		m.boot.readyAnswers++
	}
	delete(m.boot.pendingPeers, from.name)
	if r.Same {
		if r.AgeMs != nil && digest == m.set.digest {
			m.markComplete(sent.Add(-time.Duration(*r.AgeMs) * time.Millisecond))
		}
		return m.checkBoot(now)
	}
	out := m.reconcile(from, r.Versions)
	return append(out, m.checkBoot(now)...)
}

// reconcile pulls the documents of which the peer has newer versions and pushes those of which it has older ones.
func (m *machine) reconcile(from peer, versions []*peerv1.ConfigVersion) []effect {
	theirs := make(map[string]uint64, len(versions))
	var pull []*peerv1.ConfigVersion
	for _, v := range versions {
		theirs[v.Name] = v.Version
		if have := m.set.version(v.Name); have < v.Version {
			pull = append(pull, &peerv1.ConfigVersion{Name: v.Name, Version: have})
		}
	}
	var out []effect
	if len(pull) > 0 {
		m.boot.pendingPeers[from.name] = true
		out = append(out, effectPull{from: from, have: pull})
	}
	for _, v := range m.set.versions() {
		if len(out) >= maxReconcilePushes {
			break
		}
		if e := m.set.entries[v.Name]; theirs[v.Name] < v.Version {
			out = append(out, effectPush{to: from, item: e.newest, base: e.previous, forward: emptySpan})
		}
	}
	return out
}

func (m *machine) exchangeFailed(now time.Time, to peer) []effect {
	delete(m.boot.pendingPeers, to.name)
	return m.checkBoot(now)
}

// applyPull installs items from a peer, and pulls the remaining ones if the answer was cut short.
func (m *machine) applyPull(now time.Time, from peer, wanted []*peerv1.ConfigVersion, items []Item) []effect {
	delete(m.boot.pendingPeers, from.name)
	forward := emptySpan
	if from.dataCentre != m.self.dataCentre {
		forward = fullSpan
	}
	var out []effect
	received := map[string]bool{}
	for _, i := range items {
		received[i.Name] = true
		out = append(out, m.install(i, forward)...)
	}
	var missing []*peerv1.ConfigVersion
	for _, w := range wanted {
		if !received[w.Name] {
			missing = append(missing, w)
		}
	}
	if len(items) > 0 && len(missing) > 0 {
		m.boot.pendingPeers[from.name] = true
		out = append(out, effectPull{from: from, have: missing})
	}
	return append(out, m.checkBoot(now)...)
}
