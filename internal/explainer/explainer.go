package explainer

import (
	"fmt"
	"slices"
	"strings"
	"time"
)

// Event is one line of a request's life, or of what a daemon believed.
type Event struct {
	Time time.Time `json:"time"`
	Node string    `json:"node"`
	Message string    `json:"what"`
	// Fields are those of the line.
	Fields map[string]any `json:"fields,omitempty"`
}

// Explanation is what the logs say of a request.
type Explanation struct {
	Request string `json:"request"`
	// Cause is why the request ended as it did, in one line.
	Cause string  `json:"cause"`
	Timeline  []Event `json:"life"`
	// Beliefs are what decided it: the configuration in force and the state of the targets at the end of the request.
	DaemonState []Event `json:"beliefs"`
}

// Messages of the lines that an explanation is made from.
const (
	msgRefused  = "request refused"
	msgSent     = "request sent"
	msgEnded    = "request ended"
	msgConfig   = "configuration in force"
	msgListed   = "target listed"
	msgRemoved  = "target removed"
	msgLost     = "target believed lost"
	msgPeerLost = "target believed lost by a peer"
	msgClear    = "target answers after all"
	msgStoreOff = "store lost, going on with what is known"
	msgStoreOn  = "store is back"
	msgEra      = "store is in a new era"
	msgLeaves   = "gateway leaves"
	msgStarts   = "gateway starts"
)

// Explain returns the life of a request; false where no line names it.
func Explain(lines []Line, request string) (Explanation, bool) {
	x := Explanation{Request: request}
	var life []Line
	for _, l := range lines {
		if l.text("request") == request {
			life = append(life, l)
			x.Timeline = append(x.Timeline, event(l))
		}
	}
	if len(life) == 0 {
		return x, false
	}
	end := endOf(life)
	beliefs := newBeliefs(lines, end)
	for _, l := range beliefs.about(life) {
		x.DaemonState = append(x.DaemonState, event(l))
	}
	x.Cause = cause(life, end, beliefs)
	return x, true
}

// endOf returns the line that ends a request, or the last one. Lines of one millisecond need not stand in their order, as those
// of failures are written first.
func endOf(life []Line) Line {
	for _, l := range slices.Backward(life) {
		if l.Message == msgEnded || l.Message == msgRefused {
			return l
		}
	}
	return life[len(life)-1]
}

func event(l Line) Event { return Event{Time: l.Time, Node: l.Node, Message: l.Message, Fields: l.Fields} }

// beliefs are the latest lines of one daemon before a moment.
type beliefs struct {
	config  Line
	store   Line
	era     Line
	leaving Line
	targets map[string]Line
}

func newBeliefs(lines []Line, end Line) beliefs {
	b := beliefs{targets: map[string]Line{}}
	for _, l := range lines {
		if l.Node != end.Node || l.Time.After(end.Time) {
			continue
		}
		switch l.Message {
		case msgConfig:
			b.config = l
		case msgStoreOff, msgStoreOn:
			b.store = l
		case msgEra:
			b.era = l
		case msgStarts:
			// Another process knows nothing of what this one believed.
			b = beliefs{targets: map[string]Line{}}
		case msgLeaves:
			b.leaving = l
		case msgListed, msgRemoved, msgLost, msgPeerLost, msgClear:
			b.targets[l.text("target")] = l
		}
	}
	return b
}

// about returns the lines that matter for a request: those of its daemon, and of the targets that it names.
func (b beliefs) about(life []Line) []Line {
	var out []Line
	for _, l := range []Line{b.config, b.store, b.era, b.leaving} {
		if l.Message != "" {
			out = append(out, l)
		}
	}
	for _, name := range targetsOf(life) {
		if l, ok := b.targets[name]; ok {
			out = append(out, l)
		}
	}
	return out
}

// targetsOf returns the targets that the lines of a request name, in their order.
func targetsOf(life []Line) []string {
	var out []string
	add := func(name string) {
		if name != "" && !slices.Contains(out, name) {
			out = append(out, name)
		}
	}
	for _, l := range life {
		add(l.text("target"))
		for stage := range strings.FieldsSeq(l.text("path")) {
			name, _, found := strings.Cut(stage, "=")
			if found {
				add(name)
			}
		}
	}
	return out
}

// away returns the targets among the names that were lost, removed or leaving.
func (b beliefs) away(names []string) []string {
	var out []string
	for _, name := range names {
		l := b.targets[name]
		switch {
		case l.Message == msgLost, l.Message == msgPeerLost:
			out = append(out, name+" (believed lost)")
		case l.Message == msgRemoved:
			out = append(out, name+" (removed)")
		case l.text("state") == "leaving":
			out = append(out, name+" (leaving)")
		}
	}
	return out
}

// cause returns why a request ended as it did.
func cause(life []Line, end Line, b beliefs) string {
	if end.Message != msgEnded && end.Message != msgRefused {
		return fmt.Sprintf("no line tells its end: the logs stop with %q on %s, as where the process was killed", end.Message, end.Node)
	}
	version := end.number("config")
	why := end.text("why")
	switch code := end.text("code"); code {
	case "":
		return fmt.Sprintf("served by %s in %.0f ms", end.Node, end.number("took"))
	case "unauthenticated":
		return fmt.Sprintf("its key is not in version %.0f of the configuration, in force on %s since %s", version, end.Node, clock(b.config))
	case "unknown-service":
		return fmt.Sprintf("%s in version %.0f of the configuration, in force on %s since %s", why, version, end.Node, clock(b.config))
	case "not-ready":
		return fmt.Sprintf("%s had just started and knew no configuration", end.Node)
	case "no-pipeline", "no-target":
		return fmt.Sprintf("%s; %s", why, retryText(end)) + awayText(life, b)
	case "deadline-exceeded":
		return "its time was up: " + progress(life, end) + awayText(life, b)
	case "canceled":
		return "the client went away: " + progress(life, end) + awayText(life, b)
	default:
		return fmt.Sprintf("%s: %s; %s", code, why, progress(life, end)) + awayText(life, b)
	}
}

func clock(l Line) string {
	if l.Message == "" {
		return "before these logs"
	}
	return l.Time.Format("15:04:05.000")
}

func retryText(end Line) string {
	if after := end.number("retry-after"); after > 0 {
		return fmt.Sprintf("told to come back in %.0f ms", after)
	}
	return "told no time to come back"
}

// progress returns how far a request had come.
func progress(life []Line, end Line) string {
	var sent *Line
	sends, repaths := 0, 0
	for i, l := range life {
		switch l.Message {
		case msgSent:
			sent = &life[i]
			sends++
		case "stages replaced":
			repaths++
		}
	}
	switch {
	case sent == nil:
		return "it was never sent to a target"
	case end.text("last") == "":
		return fmt.Sprintf("sent %d times, the last to %s %.0f ms before, with no event; stages replaced %d times",
			sends, sent.text("target"), end.Time.Sub(sent.Time).Seconds()*1000, repaths)
	}
	return fmt.Sprintf("delivered up to event %s, longest gap %.0f ms, sent %d times, the last to %s; stages replaced %d times",
		end.text("last"), end.number("longest-gap"), sends, sent.text("target"), repaths)
}

func awayText(life []Line, b beliefs) string {
	away := b.away(targetsOf(life))
	if len(away) == 0 {
		return ""
	}
	return "; of its targets " + strings.Join(away, ", ")
}
