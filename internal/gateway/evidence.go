package gateway

import (
	"strconv"
	"time"

	peerv1 "github.com/rattantray/rattantray/internal/api/rattantray/peer/v1"
	"github.com/rattantray/rattantray/internal/quarantiner"
	"github.com/rattantray/rattantray/internal/tracker"
)

const (
	// maxEvidence bounds the keys with evidence in one update, maxEvidenceCrashes their crashes, and maxCrashes the targets
	// that crashed: about half a kilobyte together.
	maxEvidence        = 12
	maxEvidenceCrashes = 24
	maxCrashes         = 12
)

// evidence returns the evidence that an update carries.
func (g *Gateway) evidence(now time.Time) []*peerv1.CrashEvidence {
	var out []*peerv1.CrashEvidence
	crashes := 0
	for _, e := range g.relayer.Quarantiner.Evidence(maxEvidence) {
		if crashes += len(e.Crashes); crashes > maxEvidenceCrashes {
			break
		}
		out = append(out, encodeEvidence(now, e))
	}
	return out
}

// addEvidence adds what is known of crashes to an update.
func (g *Gateway) addEvidence(n *peerv1.GatewayUpdate, now time.Time) {
	n.Evidence = g.evidence(now)
	for _, c := range g.relayer.Quarantiner.Crashes(maxCrashes) {
		n.Crashes = append(n.Crashes, encodeCrash(now, c))
	}
}

// mergeEvidence takes over what an update says of crashes, and reports whether others must be told without delay.
func (g *Gateway) mergeEvidence(n *peerv1.GatewayUpdate, now time.Time) (urgent bool) {
	q := g.relayer.Quarantiner
	q.MergeCrashes(decodeCrashes(now, n.GetCrashes()))
	for _, e := range n.GetEvidence() {
		urgent = q.Merge(decodeEvidence(now, e)) || urgent
	}
	if urgent {
		g.relayer.EndQuarantined()
	}
	return urgent
}

// trialRank returns the position of this daemon among those that may send a request to end the quarantine of a key.
func (g *Gateway) trialRank(k quarantiner.Key) int {
	members := candidates(g.allMembers())
	ranked := tracker.RankMembers(members, strconv.FormatUint(uint64(k), 16), len(members))
	if i := memberIndex(ranked, g.Settings.Name); i >= 0 {
		return i
	}
	return len(ranked)
}

// encodeEvidence returns evidence in the form of a message.
func encodeEvidence(now time.Time, e quarantiner.Evidence) *peerv1.CrashEvidence {
	m := &peerv1.CrashEvidence{Key: uint64(e.Key), AnsweredAgeMs: optionalAge(now, e.AnsweredAt), TrialAgeMs: optionalAge(now, e.TrialAt)}
	for _, c := range e.Crashes {
		m.Crashes = append(m.Crashes, encodeCrash(now, c))
	}
	return m
}

func encodeCrash(now time.Time, c quarantiner.Crash) *peerv1.TargetCrash {
	return &peerv1.TargetCrash{Target: c.Target, Request: c.Request, Depth: c.Depth, AgeMs: ageMS(now, c.At)}
}

func decodeCrashes(now time.Time, messages []*peerv1.TargetCrash) []quarantiner.Crash {
	var out []quarantiner.Crash
	for _, m := range messages {
		at := now.Add(-time.Duration(m.GetAgeMs()) * time.Millisecond)
		out = append(out, quarantiner.Crash{Target: m.GetTarget(), Request: m.GetRequest(), Depth: m.GetDepth(), At: at})
	}
	return out
}

// decodeEvidence returns the evidence in a message.
func decodeEvidence(now time.Time, m *peerv1.CrashEvidence) quarantiner.Evidence {
	since := func(ageMS uint32) time.Time { return now.Add(-time.Duration(ageMS) * time.Millisecond) }
	e := quarantiner.Evidence{Key: quarantiner.Key(m.GetKey()), Crashes: decodeCrashes(now, m.GetCrashes())}
	if m.AnsweredAgeMs != nil {
		e.AnsweredAt = since(m.GetAnsweredAgeMs())
	}
	if m.TrialAgeMs != nil {
		e.TrialAt = since(m.GetTrialAgeMs())
	}
	return e
}

// optionalAge returns how many milliseconds ago at was, or nil if it is the zero time.
func optionalAge(now, at time.Time) *uint32 {
	if at.IsZero() {
		return nil
	}
	age := ageMS(now, at)
	return &age
}
