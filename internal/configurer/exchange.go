package configurer

import (
	"time"

	peerv1 "github.com/rattantray/rattantray/internal/api/rattantray/peer/v1"
)

// exchanged takes in a peer's answer to a comparison of digests.
func (m *machine) exchanged(now, sent time.Time, from peer, digest uint64, r *peerv1.ConfigExchangeResponse) []effect {
	if r.Ready {
		m.boot.answered++
	}
	delete(m.boot.asked, from.name)
	if r.Same {
		if r.AgeMs != nil && digest == m.set.digest {
			m.complete(sent.Add(-time.Duration(*r.AgeMs) * time.Millisecond))
		}
		return m.checkBoot(now)
	}
	out := m.reconcile(from, r.Versions)
	return append(out, m.checkBoot(now)...)
}

// reconcile pulls what the peer has newer and pushes what it has older.
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
		m.boot.asked[from.name] = true
		out = append(out, effectPull{from: from, have: pull})
	}
	for _, v := range m.set.versions() {
		if len(out) >= maxReconcilePushes {
			break
		}
		if e := m.set.entries[v.Name]; theirs[v.Name] < v.Version {
			out = append(out, effectPush{to: from, item: e.newest, base: e.previous, rest: nobody})
		}
	}
	return out
}

func (m *machine) askFailed(now time.Time, to peer) []effect {
	delete(m.boot.asked, to.name)
	return m.checkBoot(now)
}

// pulled takes in items from a peer, and asks for the rest where the answer was cut short.
func (m *machine) pulled(now time.Time, from peer, wanted []*peerv1.ConfigVersion, items []Item) []effect {
	delete(m.boot.asked, from.name)
	rest := nobody
	if from.dataCentre != m.self.dataCentre {
		rest = everyone
	}
	var out []effect
	got := map[string]bool{}
	for _, i := range items {
		got[i.Name] = true
		out = append(out, m.install(i, rest)...)
	}
	var missing []*peerv1.ConfigVersion
	for _, w := range wanted {
		if !got[w.Name] {
			missing = append(missing, w)
		}
	}
	if len(items) > 0 && len(missing) > 0 {
		m.boot.asked[from.name] = true
		out = append(out, effectPull{from: from, have: missing})
	}
	return append(out, m.checkBoot(now)...)
}
