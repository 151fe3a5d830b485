package explainer

import (
	"fmt"
	"slices"
	"strings"
	"time"
)

// Event is one log line of a request, or of the daemon state that applied to it.
type Event struct {
	Time    time.Time `json:"time"`
	Node    string    `json:"node"`
	Message string    `json:"what"`
	// Fields holds the other fields of the line.
	Fields map[string]any `json:"fields,omitempty"`
}

// Explanation is what the logs say about a request.
type Explanation struct {
	Request string `json:"request"`
	// Cause says in one line why the request ended as it did.
	Cause string `json:"cause"`
	// Timeline holds the lines of the request, by time.
	Timeline []Event `json:"life"`
	// DaemonState is what the daemon that ended the request acted on: the configuration in force, and the last known states of the
	// store, of the daemon and of the request's targets.
	DaemonState []Event `json:"beliefs"`
}

// Messages of the log lines that an explanation uses.
const (
	msgRefused          = "request refused"
	msgSent             = "request sent"
	msgEnded            = "request ended"
	msgTooSlow          = "stream is too slow or has stalled"
	msgConfig           = "configuration in force"
	msgTargetListed     = "target listed"
	msgTargetRemoved    = "target removed"
	msgTargetLost       = "target believed lost"
	msgTargetLostByPeer = "target believed lost by a peer"
	msgTargetRecovered  = "target answers after all"
	msgTargetPaced      = "target is paced"
	msgTargetCaughtUp   = "target is no longer paced"
	msgStoreLost        = "store lost, going on with what is known"
	msgStoreRecovered   = "store is back"
	msgNewEra           = "store is in a new era"
	msgOverLimits       = "clients are over the limits"
	msgGatewayLeaves    = "gateway leaves"
	msgGatewayStarts    = "gateway starts"
)

// Explain returns the explanation of a request, or false if no line names the request.
func Explain(lines []Line, request string) (Explanation, bool) {
	explanation := Explanation{Request: request}
	var requestLines []Line
	for _, l := range lines {
		if l.text("request") == request {
			requestLines = append(requestLines, l)
			explanation.Timeline = append(explanation.Timeline, newEvent(l))
		}
	}
	if len(requestLines) == 0 {
		return explanation, false
	}
	end := endLine(requestLines)
	state := newDaemonState(lines, end)
	for _, l := range state.relevantLines(requestLines) {
		explanation.DaemonState = append(explanation.DaemonState, newEvent(l))
	}
	explanation.Cause = cause(requestLines, end, state)
	return explanation, true
}

// endLine returns the line that ends a request, or its last line if none does. Lines of the same millisecond may be out of order, as
// the logger writes those of failures first.
func endLine(lines []Line) Line {
	for _, l := range slices.Backward(lines) {
		if l.Message == msgEnded || l.Message == msgRefused {
			return l
		}
	}
	return lines[len(lines)-1]
}

func newEvent(l Line) Event {
	return Event{Time: l.Time, Node: l.Node, Message: l.Message, Fields: l.Fields}
}

// daemonState holds the latest line on each part of a daemon's state at a given time.
type daemonState struct {
	config  Line
	store   Line
	era     Line
	leaving Line
	limits  Line
	targets map[string]Line
	// paced holds the targets that were paced, as they had started or come back.
	paced map[string]Line
}

func newDaemonState(lines []Line, end Line) daemonState {
	s := daemonState{targets: map[string]Line{}, paced: map[string]Line{}}
	for _, l := range lines {
		if l.Node != end.Node || l.Time.After(end.Time) {
			continue
		}
		switch l.Message {
		case msgConfig:
			s.config = l
		case msgStoreLost, msgStoreRecovered:
			s.store = l
		case msgNewEra:
			s.era = l
		case msgGatewayStarts:
			// A new process starts without the state of the one before.
			s = daemonState{targets: map[string]Line{}, paced: map[string]Line{}}
		case msgOverLimits:
			s.limits = l
		case msgGatewayLeaves:
			s.leaving = l
		case msgTargetListed, msgTargetRemoved, msgTargetLost, msgTargetLostByPeer, msgTargetRecovered:
			s.targets[l.text("target")] = l
		case msgTargetPaced:
			s.paced[l.text("target")] = l
		case msgTargetCaughtUp:
			delete(s.paced, l.text("target"))
		}
	}
	return s
}

// relevantLines returns the lines that matter for a request: those on the daemon itself, and on the targets that the request names.
func (s daemonState) relevantLines(lines []Line) []Line {
	var out []Line
	for _, l := range []Line{s.config, s.store, s.era, s.leaving, s.limits} {
		if l.Message != "" {
			out = append(out, l)
		}
	}
	for _, name := range targetsOf(lines) {
		if l, ok := s.targets[name]; ok {
			out = append(out, l)
		}
		if l, ok := s.paced[name]; ok {
			out = append(out, l)
		}
	}
	return out
}

// targetsOf returns the targets that the lines of a request name, in order of their first mention.
func targetsOf(lines []Line) []string {
	var out []string
	add := func(name string) {
		if name != "" && !slices.Contains(out, name) {
			out = append(out, name)
		}
	}
	for _, l := range lines {
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

// unavailable returns the targets among names that were suspected, removed or leaving, each with its state.
func (s daemonState) unavailable(names []string) []string {
	var out []string
	for _, name := range names {
		l := s.targets[name]
		switch {
		case l.Message == msgTargetLost, l.Message == msgTargetLostByPeer:
			out = append(out, name+" (believed lost)")
		case l.Message == msgTargetRemoved:
			out = append(out, name+" (removed)")
		case l.text("state") == "leaving":
			out = append(out, name+" (leaving)")
		}
	}
	return out
}

// cause returns why a request ended as it did.
func cause(lines []Line, end Line, state daemonState) string {
	if end.Message != msgEnded && end.Message != msgRefused {
		return fmt.Sprintf("no line tells its end: the logs stop with %q on %s, as where the process was killed", end.Message, end.Node)
	}
	version := end.number("config")
	why := end.text("why")
	switch code := end.text("code"); code {
	case "":
		return fmt.Sprintf("served by %s in %.0f ms", end.Node, end.number("took")) + pacedTargetsText(lines)
	case "unauthenticated":
		return fmt.Sprintf("its key is not in version %.0f of the configuration, in force on %s since %s", version, end.Node, timeText(state.config))
	case "unknown-service":
		return fmt.Sprintf("%s in version %.0f of the configuration, in force on %s since %s", why, version, end.Node, timeText(state.config))
	case "not-ready":
		return fmt.Sprintf("%s had just started and knew no configuration", end.Node)
	case "memory-short", "body-timed-out", "payload-too-large":
		return fmt.Sprintf("%s: %s; it was refused before its body was read", code, why)
	case "quarantined":
		return fmt.Sprintf("%s; %s", why, retryText(end))
	case "no-pipeline", "no-target":
		return fmt.Sprintf("%s; %s", why, retryText(end)) + unavailableTargetsText(lines, state) + pacedTargetsText(lines)
	case "deadline-exceeded":
		return "its time was up: " + progress(lines, end) + unavailableTargetsText(lines, state)
	case "canceled":
		return "the client went away: " + progress(lines, end) + unavailableTargetsText(lines, state)
	default:
		return fmt.Sprintf("%s: %s; %s", code, why, progress(lines, end)) + unavailableTargetsText(lines, state)
	}
}

func timeText(l Line) string {
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

// progress describes how far a request had come.
func progress(lines []Line, end Line) string {
	var sent *Line
	sends, repaths, tooSlow, changed := 0, 0, 0, 0
	for i, l := range lines {
		switch l.Message {
		case msgSent:
			sent = &lines[i]
			sends++
		case "stages replaced":
			repaths++
		case msgTooSlow:
			tooSlow++
			if taken, _ := l.Fields["taken"].(bool); taken {
				changed++
			}
		}
	}
	slow := ""
	if tooSlow > 0 {
		slow = fmt.Sprintf("; found too slow or stalled %d times and changed %d times", tooSlow, changed)
	}
	switch {
	case sent == nil:
		return "it was never sent to a target"
	case end.text("last") == "":
		return fmt.Sprintf("sent %d times, the last to %s %.0f ms before, with no event; stages replaced %d times",
			sends, sent.text("target"), end.Time.Sub(sent.Time).Seconds()*1000, repaths) + slow
	}
	return fmt.Sprintf("delivered up to event %s, longest gap %.0f ms, sent %d times, the last to %s; stages replaced %d times",
		end.text("last"), end.number("longest-gap"), sends, sent.text("target"), repaths) + slow
}

// pacedTargetsText names the pace of other targets as a reason why a request was placed where it was.
func pacedTargetsText(lines []Line) string {
	paced := 0.0
	for _, l := range lines {
		if l.Message == msgSent {
			paced = max(paced, l.number("paced"))
		}
	}
	if paced == 0 {
		return ""
	}
	return fmt.Sprintf("; %.0f targets that had started or come back were paced when it was placed", paced)
}

func unavailableTargetsText(lines []Line, state daemonState) string {
	names := state.unavailable(targetsOf(lines))
	if len(names) == 0 {
		return ""
	}
	return "; of its targets " + strings.Join(names, ", ")
}
