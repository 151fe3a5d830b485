package explainer

import (
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

// Lines as gateways write them; the prefix of the second comes from a supervisor.
const stateLines = `{"level":"info","node":"a-1","version":7,"time":1000,"message":"configuration in force"}
12:00 a-1 {"level":"info","node":"a-1","target":"i-1","state":"live","first":0,"end":5,"time":1001,"message":"target listed"}
{"level":"info","node":"a-1","target":"i-2","state":"live","first":5,"end":10,"time":1002,"message":"target listed"}
{"level":"info","node":"b-1","target":"i-2","state":"leaving","time":1003,"message":"target listed"}
not a line of a log
{"level":"warn","node":"a-1","target":"i-2","time":2000,"message":"target believed lost"}
`

func explain(t *testing.T, lines string) Explanation {
	read, skipped, err := Read(strings.NewReader(lines), strings.NewReader(stateLines))
	require.NoError(t, err)
	require.Equal(t, 1, skipped)
	x, found := Explain(read, "r1")
	require.True(t, found)
	return x
}

func TestCauses(t *testing.T) {
	const sent = `{"level":"info","node":"a-1","request":"r1","target":"i-1","sending":1,"path":"i-1=0-5 i-2=5-10","time":1500,"message":"request sent"}` + "\n"
	cases := []struct {
		name  string
		lines string
		cause string
	}{
		{"served", sent + `{"node":"a-1","request":"r1","took":512.4,"time":2500,"message":"request ended"}`, "served by a-1 in 512 ms"},
		{"served while a target was paced", `{"node":"a-1","request":"r1","target":"i-1","path":"i-1=0-5","paced":3,"time":1500,"message":"request sent"}
{"node":"a-1","request":"r1","took":512.4,"time":2500,"message":"request ended"}`,
			"served by a-1 in 512 ms; 3 targets that had started or come back were paced when it was placed"},
		{"a key that was withdrawn", `{"node":"a-1","request":"r1","config":7,"code":"unauthenticated","time":2500,"message":"request refused"}`,
			"its key is not in version 7 of the configuration, in force on a-1 since 00:00:01.000"},
		{"a route that was removed", `{"node":"a-1","request":"r1","config":7,"code":"unknown-service","why":"no route for h/x","time":2500,"message":"request refused"}`,
			"no route for h/x in version 7 of the configuration, in force on a-1 since 00:00:01.000"},
		{"a gateway without a configuration", `{"node":"a-1","request":"r1","code":"not-ready","time":500,"message":"request refused"}`,
			"a-1 had just started and knew no configuration"},
		{"quarantined", `{"node":"a-1","request":"r1","code":"quarantined","why":"requests with part 5c1e07a2 in their prompts crash targets","retry-after":30000,"time":2500,"message":"request ended"}`,
			"requests with part 5c1e07a2 in their prompts crash targets; told to come back in 30000 ms"},
		{"no memory for its body", `{"node":"a-1","request":"r1","code":"memory-short","why":"the memory for bodies is short","time":2500,"message":"request refused"}`,
			"memory-short: the memory for bodies is short; it was refused before its body was read"},
		{"a body that stops short", `{"node":"a-1","request":"r1","code":"body-timed-out","why":"the body made no progress for 10s","time":2500,"message":"request refused"}`,
			"body-timed-out: the body made no progress for 10s; it was refused before its body was read"},
		{"refused with a time to come back", `{"node":"a-1","request":"r1","code":"no-pipeline","why":"layers 5 to 10 are held by no target","retry-after":1000,"time":2500,"message":"request ended"}`,
			"layers 5 to 10 are held by no target; told to come back in 1000 ms"},
		{"deadline passed without an event", sent + `{"node":"a-1","request":"r1","code":"deadline-exceeded","time":2500,"message":"request ended"}`,
			"its time was up: sent 1 times, the last to i-1 1000 ms before, with no event; stages replaced 0 times; of its targets i-2 (believed lost)"},
		{"cut in the middle", sent + `{"node":"a-1","request":"r1","code":"stream-lost","why":"stream broke after \"9\": reset","last":"9","longest-gap":80,"time":1900,"message":"request ended"}`,
			`stream-lost: stream broke after "9": reset; delivered up to event 9, longest gap 80 ms, sent 1 times, the last to i-1; stages replaced 0 times`},
		{"an end that was written before its cause", sent + `{"node":"a-1","request":"r1","code":"stream-lost","why":"cut","last":"2","time":1900,"message":"request ended"}
{"node":"a-1","request":"r1","time":1900,"message":"stream broke"}`, "stream-lost: cut; delivered up to event 2"},
		{"the client left", sent + `{"node":"a-1","request":"r1","code":"canceled","last":"3","longest-gap":2000.2,"time":2500,"message":"request ended"}`,
			"the client went away: delivered up to event 3, longest gap 2000 ms"},
		{"a stream too slow for its deadline", sent + `{"node":"a-1","request":"r1","action":"replace","taken":true,"time":1600,"message":"stream is too slow or has stalled"}
{"node":"a-1","request":"r1","action":"move","taken":false,"time":1700,"message":"stream is too slow or has stalled"}
{"node":"a-1","request":"r1","code":"deadline-exceeded","last":"3","longest-gap":700,"time":2500,"message":"request ended"}`,
			"stages replaced 0 times; found too slow or stalled 2 times and changed 1 times"},
		{"a daemon that was killed", sent, `no line tells its end: the logs stop with "request sent" on a-1, as where the process was killed`},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) { require.Contains(t, explain(t, c.lines).Cause, c.cause) })
	}
}

// TestStoreRestoreIsListed checks that a request after a restore of the store lists the new era, even if its cause is another.
func TestStoreRestoreIsListed(t *testing.T) {
	x := explain(t, `{"level":"warn","node":"a-1","era":2,"time":1400,"message":"store is in a new era"}
{"level":"warn","node":"b-1","era":3,"time":1401,"message":"store is in a new era"}
{"node":"a-1","request":"r1","target":"i-1","path":"i-1=0-5","time":1500,"message":"request sent"}
{"node":"a-1","request":"r1","code":"canceled","time":1800,"message":"request ended"}`)
	require.Len(t, x.DaemonState, 3)
	require.Equal(t, "store is in a new era", x.DaemonState[1].Message)
	require.InDelta(t, 2, x.DaemonState[1].Fields["era"], 0)
}

// TestStateOfTheDaemonAtTheTime checks that lines of other daemons, or of this one after the request ended, are left out.
func TestStateOfTheDaemonAtTheTime(t *testing.T) {
	x := explain(t, `{"node":"a-1","request":"r1","target":"i-2","path":"i-1=0-5 i-2=5-10","time":1500,"message":"request sent"}
{"node":"a-1","request":"r1","code":"canceled","time":1800,"message":"request ended"}`)
	require.Len(t, x.Timeline, 2)
	var messages []string
	for _, e := range x.DaemonState {
		require.Equal(t, "a-1", e.Node)
		messages = append(messages, e.Message)
	}
	require.Equal(t, []string{"configuration in force", "target listed", "target listed"}, messages)
	require.NotContains(t, x.Cause, "lost")
}

// TestStateEndsWithItsProcess checks that the state from before a restart of the daemon is left out.
func TestStateEndsWithItsProcess(t *testing.T) {
	x := explain(t, `{"node":"a-1","time":1400,"message":"gateway starts"}
{"node":"a-1","request":"r1","target":"i-1","path":"i-1=0-5","time":1500,"message":"request sent"}
{"node":"a-1","request":"r1","code":"canceled","time":1800,"message":"request ended"}`)
	require.Empty(t, x.DaemonState)
}

// TestPacedTargetsOfARequestAreListed checks that the pace of a target of the request is listed until it ends.
func TestPacedTargetsOfARequestAreListed(t *testing.T) {
	lines := `{"node":"a-1","target":"i-1","reason":"started","time":1400,"message":"target is paced"}
{"node":"a-1","target":"i-2","reason":"started","time":1400,"message":"target is paced"}
{"node":"a-1","target":"i-2","time":1450,"message":"target is no longer paced"}
{"node":"a-1","request":"r1","target":"i-1","path":"i-1=0-5 i-2=5-10","paced":1,"time":1500,"message":"request sent"}
{"node":"a-1","request":"r1","took":300,"time":1800,"message":"request ended"}`
	var paced []any
	for _, e := range explain(t, lines).DaemonState {
		if e.Message == msgTargetPaced {
			paced = append(paced, e.Fields["target"])
		}
	}
	require.Equal(t, []any{"i-1"}, paced)
}

func TestUnknownRequest(t *testing.T) {
	lines, _, err := Read(strings.NewReader(stateLines))
	require.NoError(t, err)
	_, found := Explain(lines, "r1")
	require.False(t, found)
}

func FuzzRead(f *testing.F) {
	f.Add(stateLines)
	f.Add(`{"message":1}` + "\n" + `{"message":"request ended","request":"r1","time":"x"}`)
	f.Fuzz(func(_ *testing.T, text string) {
		lines, _, err := Read(strings.NewReader(text))
		if err == nil {
			_, _ = Explain(lines, "r1")
		}
	})
}
