package gateway

import (
	"strconv"
	"time"

	peerv1 "github.com/rattantray/rattantray/internal/api/rattantray/peer/v1"
	"github.com/rattantray/rattantray/internal/quarantiner"
	"github.com/rattantray/rattantray/internal/tracker"
)

const (
	// maxEvidence bounds the keys with evidence in one update, and maxEvidenceCrashes their crashes: about half a kilobyte.
	maxEvidence        = 12
	maxEvidenceCrashes = 24
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
		m.Crashes = append(m.Crashes, &peerv1.TargetCrash{Target: c.Target, Request: c.Request, Depth: c.Depth, AgeMs: ageMS(now, c.At)})
	}
	return m
}

// decodeEvidence returns the evidence in a message.
func decodeEvidence(now time.Time, m *peerv1.CrashEvidence) quarantiner.Evidence {
	since := func(ageMS uint32) time.Time { return now.Add(-time.Duration(ageMS) * time.Millisecond) }
	e := quarantiner.Evidence{Key: quarantiner.Key(m.GetKey())}
	if m.AnsweredAgeMs != nil {
		e.AnsweredAt = since(m.GetAnsweredAgeMs())
	}
	if m.TrialAgeMs != nil {
		e.TrialAt = since(m.GetTrialAgeMs())
	}
	for _, c := range m.GetCrashes() {
		e.Crashes = append(e.Crashes, quarantiner.Crash{Target: c.GetTarget(), Request: c.GetRequest(), Depth: c.GetDepth(), At: since(c.GetAgeMs())})
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
