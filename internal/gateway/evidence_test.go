package gateway

import (
	"encoding/hex"
	"strconv"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/proto"

	peerv1 "github.com/rattantray/rattantray/internal/api/rattantray/peer/v1"
	"github.com/rattantray/rattantray/internal/quarantiner"
)

// quarantining returns how many gateways quarantine a key.
func (f *spreadFleet) quarantining(k quarantiner.Key) int {
	n := 0
	for _, g := range f.all {
		if g.relayer.Quarantiner.IsQuarantined([]quarantiner.Key{k}) {
			n++
		}
	}
	return n
}

// recordCrash records a crash on gateway i.
func (f *spreadFleet) recordCrash(i int, k quarantiner.Key, target uint32) {
	g := f.all[i]
	if g.relayer.Quarantiner.RecordCrash([]quarantiner.Key{k}, target, target) {
		g.relayer.OnEvidence()
	}
}

// TestQuarantineIsInForceOnAllGateways guards against requests that crash targets through one gateway after the other, as each
// gateway sees one crash at most.
func TestQuarantineIsInForceOnAllGateways(t *testing.T) {
	const deadly, harmless quarantiner.Key = 1, 2
	for _, n := range []int{4, 31, 118, 400} {
		t.Run(strconv.Itoa(n), func(t *testing.T) {
			if n > 4 && raced {
				t.Skip("CI plays larger fleets without the race detector")
			}
			synctest.Test(t, func(t *testing.T) {
				f := newServingFleet(t, n)
				end := f.cut(0)
				defer end()
				f.recordCrash(0, deadly, 1)
				f.recordCrash(1, harmless, 1)
				time.Sleep(time.Second)
				require.Zero(t, f.quarantining(deadly), "one crash")
				f.recordCrash(2, deadly, 2)
				f.recordCrash(3, harmless, 2)
				time.Sleep(time.Second)
				require.Equal(t, n, f.quarantining(deadly), "a second after the second crash, which another gateway saw")

				f.all[n-1].relayer.Quarantiner.RecordAnswered([]quarantiner.Key{harmless})
				time.Sleep(4 * time.Second)
				require.Zero(t, f.quarantining(harmless), "an answer through any gateway ends a quarantine")
				require.Equal(t, n, f.quarantining(deadly))

				started := f.start(n, false)
				time.Sleep(2 * time.Second)
				require.True(t, started.relayer.Quarantiner.IsQuarantined([]quarantiner.Key{deadly}), "a gateway that has just started")
				require.False(t, started.relayer.Quarantiner.IsQuarantined([]quarantiner.Key{harmless}))
			})
		})
	}
}

// TestOneTrialForAFleet: of all gateways one sends a request to end a quarantine.
func TestOneTrialForAFleet(t *testing.T) {
	const deadly quarantiner.Key = 1
	synctest.Test(t, func(t *testing.T) {
		f := newServingFleet(t, 31)
		f.recordCrash(0, deadly, 1)
		time.Sleep(time.Second)
		f.recordCrash(1, deadly, 2)
		time.Sleep(time.Second)
		// Requests with the key come to all gateways for longer than the quarantine and a trial last.
		trials := 0
		for range 38 * 5 {
			for _, g := range f.all {
				if g.relayer.Quarantiner.Admit([]quarantiner.Key{deadly}).Trial {
					trials++
					g.relayer.OnEvidence()
				}
			}
			time.Sleep(200 * time.Millisecond)
		}
		require.Equal(t, 1, trials)
	})
}

// TestEvidenceIsBounded: the evidence in an update stays small, whatever clients send as parts of their prompts.
func TestEvidenceIsBounded(t *testing.T) {
	g := newTestGateway("a", 1)
	for i := range uint32(1000) {
		g.relayer.Quarantiner.RecordCrash([]quarantiner.Key{quarantiner.Key(i % 50), quarantiner.Key(i) << 32}, i%10, i)
	}
	n := &peerv1.GatewayUpdate{}
	g.addEvidence(n, time.Now())
	require.NotEmpty(t, n.GetEvidence())
	require.NotEmpty(t, n.GetCrashes())
	require.Less(t, proto.Size(n), 1<<10)
}

// TestEvidenceOnTheWire: evidence arrives as it was sent, with the times to the millisecond.
func TestEvidenceOnTheWire(t *testing.T) {
	now := time.UnixMilli(1_000_000)
	for _, e := range []quarantiner.Evidence{
		{Key: 1 << 60, Crashes: []quarantiner.Crash{{Target: 1, Request: 2, Depth: 3, At: now.Add(-time.Second)}, {Target: 4, Request: 5, At: now}}},
		{Key: 2, AnsweredAt: now, TrialAt: now.Add(-time.Minute)},
	} {
		data, err := proto.Marshal(encodeEvidence(now, e))
		require.NoError(t, err)
		m := &peerv1.CrashEvidence{}
		require.NoError(t, proto.Unmarshal(data, m))
		require.Equal(t, e, decodeEvidence(now, m))
	}
}

// TestEvidenceOfOtherBuilds guards against evidence that a build from before requests were known as a whole does not read, or that
// is not read from one: the bytes are those that build 3cae3b7 wrote.
func TestEvidenceOfOtherBuilds(t *testing.T) {
	now := time.UnixMilli(1_000_000)
	part := quarantiner.Evidence{Key: quarantiner.PartKey("m", "part"), Crashes: []quarantiner.Crash{{Target: 1, Request: 2, Depth: 1, At: now.Add(-time.Second)}}}
	content := quarantiner.Evidence{Key: 1 << 60, Crashes: []quarantiner.Crash{{Target: 1, Request: 2, Depth: 1<<16 + 1, At: now}}, TrialAt: now}
	for written, e := range map[string]quarantiner.Evidence{
		"097e297b6901e3334f120f0d010000001502000000180120e807":   part,
		"090000000000000010120e0d010000001502000000188180042000": content,
	} {
		data, err := proto.Marshal(encodeEvidence(now, e))
		require.NoError(t, err)
		require.Equal(t, written, hex.EncodeToString(data))
		m := &peerv1.CrashEvidence{}
		require.NoError(t, proto.Unmarshal(data, m))
		require.Equal(t, e, decodeEvidence(now, m))
	}
}
