package quarantiner

import (
	"cmp"
	"slices"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Crash is a crash of a target while it ran a request that had not been answered.
type Crash struct {
	// Target identifies the incarnation that crashed, and Request the request.
	Target  uint32
	Request uint32
	// Depth is the position of the key among the keys of the request; the deeper, the fewer requests share it. For the request
	// as a whole it is contentDepth, or begunDepth if the target had begun its answer and sent no event of it.
	Depth uint32
	At    time.Time
}

// contentDepth is the depth of a request as a whole, below all its parts, and begunDepth that of one that the target had just
// begun, which is the more likely one to have crashed it. Both are depths to daemons that do not know requests as a whole.
const (
	contentDepth = 1 << 16
	begunDepth   = contentDepth + 1
)

// isWhole reports whether the key is that of a request as a whole, not of a part that several requests share.
func (e Evidence) isWhole() bool {
	return slices.ContainsFunc(e.Crashes, func(c Crash) bool { return c.Depth >= contentDepth })
}

// TargetID returns the identifier of an incarnation of a target in a Crash.
func TargetID(name string, incarnation uint64) uint32 {
	return uint32(xxhash.Sum64String(name + "/" + strconv.FormatUint(incarnation, 10)))
}

// RequestID returns the identifier of a request in a Crash.
func RequestID(id string) uint32 { return uint32(xxhash.Sum64String(id)) }

// Evidence is what a daemon knows of one key.
type Evidence struct {
	Key     Key
	Crashes []Crash
	// AnsweredAt is when a request with the key was last proved harmless by its answer, and TrialAt when one was last sent
	// to end a quarantine; zero means never.
	AnsweredAt time.Time
	TrialAt    time.Time
}

// addCrash returns the evidence with another crash, and false if it is known or beyond the bounds. Which requests of a crash
// are kept does not depend on the order in which a daemon hears of them, so that daemons keep the same.
func (e Evidence) addCrash(c Crash) (Evidence, bool) {
	sameTarget := func(o Crash) bool { return o.Target == c.Target }
	ofTarget := slices.DeleteFunc(slices.Clone(e.Crashes), func(o Crash) bool { return !sameTarget(o) })
	others := slices.DeleteFunc(slices.Clone(e.Crashes), sameTarget)
	if slices.ContainsFunc(ofTarget, func(o Crash) bool { return o.Request == c.Request }) {
		return e, false
	}
	ofTarget = append(ofTarget, c)
	slices.SortFunc(ofTarget, func(a, b Crash) int { return cmp.Compare(a.Request, b.Request) })
	if len(ofTarget) > maxRequests {
		if ofTarget[maxRequests] == c {
			return e, false
		}
		ofTarget = ofTarget[:maxRequests]
	}
	crashes := append(others, ofTarget...)
	slices.SortStableFunc(crashes, func(a, b Crash) int { return a.At.Compare(b.At) })
	if drop, ok := surplusTarget(crashes); ok {
		if drop == c.Target {
			return e, false
		}
		crashes = slices.DeleteFunc(crashes, func(o Crash) bool { return o.Target == drop })
	}
	e.Crashes = crashes
	return e, true
}

// surplusTarget returns the target to forget if there are more than maxTargets: the last one that counts as one with the
// target before it, or the oldest.
func surplusTarget(crashes []Crash) (uint32, bool) {
	var first []Crash
	for _, c := range crashes {
		if !slices.ContainsFunc(first, func(o Crash) bool { return o.Target == c.Target }) {
			first = append(first, c)
		}
	}
	if len(first) <= maxTargets {
		return 0, false
	}
	for i := len(first) - 1; i > 0; i-- {
		if first[i].At.Sub(first[i-1].At) < jointCrashWindow {
			return first[i].Target, true
		}
	}
	return first[0].Target, true
}

// contains reports whether the evidence is that of a request as a whole which has the part of some other evidence.
func (e Evidence) contains(part Evidence) bool {
	return e.isWhole() && slices.ContainsFunc(part.Crashes, func(c Crash) bool {
		return slices.ContainsFunc(e.Crashes, func(o Crash) bool { return o.Target == c.Target && o.Request == c.Request })
	})
}

// targets returns the number of targets that crashed since the last answer.
func (e Evidence) targets() int {
	targets := map[uint32]bool{}
	for _, c := range e.unanswered() {
		targets[c.Target] = true
	}
	return len(targets)
}

// lastCrash returns the time of the last crash, or the zero time.
func (e Evidence) lastCrash() time.Time {
	if len(e.Crashes) == 0 {
		return time.Time{}
	}
	return e.Crashes[len(e.Crashes)-1].At
}

// unanswered returns the crashes since the last answer.
func (e Evidence) unanswered() []Crash {
	first, _ := slices.BinarySearchFunc(e.Crashes, e.AnsweredAt, func(c Crash, at time.Time) int {
		if c.At.After(at) {
			return 1
		}
		return -1
	})
	return e.Crashes[first:]
}

// count returns the number of separate crashes and of the requests in them. A request that several targets had just begun, whatever
// the time between their crashes, is what they have in common.
func count(crashes []Crash) (separate, requests int) {
	var last time.Time
	begun := false
	targets, ids := map[uint32]bool{}, map[uint32]bool{}
	for _, c := range crashes {
		ids[c.Request] = true
		if targets[c.Target] {
			continue
		}
		targets[c.Target] = true
		if separate == 0 || c.At.Sub(last) >= jointCrashWindow || begun && c.Depth == begunDepth {
			separate++
			last, begun = c.At, c.Depth == begunDepth
		}
	}
	return separate, len(ids)
}
