package configurer

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/rattantray/rattantray/internal/platformfaker"
	v1 "github.com/rattantray/rattantray/pkg/api/rattantray/v1"
	"github.com/rattantray/rattantray/pkg/refuser"
)

const (
	accepted = v1.ApplyResult_APPLY_RESULT_ACCEPTED
	refused  = v1.ApplyResult_APPLY_RESULT_REFUSED
	conflict = v1.ApplyResult_APPLY_RESULT_CONFLICT
	unknown  = v1.ApplyResult_APPLY_RESULT_UNKNOWN
)

func operations(op platformfaker.Operation) []platformfaker.Operation {
	return []platformfaker.Operation{op}
}

func TestApplyOutcomes(t *testing.T) {
	const forever = platformfaker.Duration(time.Hour)
	cases := []struct {
		name string
		// seen is added to the stored version.
		seen    int
		noSeen  bool
		owner   string
		faults  []platformfaker.Fault
		want    v1.ApplyResult
		message string
		diff    string
		written bool
	}{
		{name: "on the stored version", owner: "b", want: accepted, written: true},
		{name: "on an older version", owner: "b", seen: -1, want: conflict, diff: "-owner: a\n+owner: b\n", message: "changed since"},
		{name: "without a version", owner: "b", noSeen: true, want: conflict, diff: "-owner: a\n+owner: b\n", message: "name the version"},
		{name: "same document, without a version", owner: "a", noSeen: true, want: accepted, message: "stored already"},
		{name: "on a version that does not exist", owner: "b", seen: 7, want: refused, message: "nothing was stored"},
		{name: "answer lost", owner: "b", faults: []platformfaker.Fault{{Kind: platformfaker.FaultAnswerLost, Count: 1}}, want: accepted, written: true},
		{name: "request lost", owner: "b", faults: []platformfaker.Fault{{Kind: platformfaker.FaultRequestLost, Count: 1}}, want: accepted, written: true},
		{name: "stale reads", owner: "b", faults: []platformfaker.Fault{{Kind: platformfaker.FaultStaleRead, Count: 4}}, want: accepted, written: true},
		{name: "a few calls refused", owner: "b", faults: []platformfaker.Fault{
			{Kind: platformfaker.FaultRateLimit, Count: 5}, {Kind: platformfaker.FaultOutage, Count: 3}}, want: accepted, written: true},
		{name: "slow", owner: "b", faults: []platformfaker.Fault{{Kind: platformfaker.FaultSlow, Delay: platformfaker.Duration(3 * time.Second), Count: 2}}, want: accepted, written: true},
		{name: "store down", owner: "b", faults: []platformfaker.Fault{{Kind: platformfaker.FaultOutage, Duration: forever}}, want: refused, message: "nothing was stored"},
		{name: "store down for writes", owner: "b", faults: []platformfaker.Fault{
			{Kind: platformfaker.FaultOutage, Operations: operations(platformfaker.OperationPut), Duration: forever}}, want: refused, message: "nothing was stored"},
		{name: "every answer lost", owner: "b", faults: []platformfaker.Fault{{Kind: platformfaker.FaultAnswerLost, Duration: forever}},
			want: accepted, written: true},
		{name: "every request lost", owner: "b", faults: []platformfaker.Fault{{Kind: platformfaker.FaultRequestLost, Duration: forever}},
			want: unknown, message: "service history cards"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			inBubble(t, 2, 1, func(t *testing.T, f *fleet) {
				first := f.mustApply(f.daemons[0], "cards", "a", 0)
				f.waitInForce("cards", first, maxSpreadTime)
				for _, fault := range c.faults {
					f.platform.Inject(fault)
				}
				seen := uint64(int(first) + c.seen)
				req := &v1.ApplyRequest{Document: source("cards", c.owner), Author: "me", ExpectedVersion: &seen}
				if c.noSeen {
					req.ExpectedVersion = nil
				}
				resp, err := f.daemons[1].Apply(t.Context(), req)
				require.NoError(t, err)
				require.Equal(t, c.want, resp.Result, resp.Message)
				require.Contains(t, resp.Message, c.message)
				require.Equal(t, c.diff, resp.Difference)
				f.platform.ClearFaults()
				history, err := f.daemons[0].History(t.Context(), &v1.HistoryRequest{Name: "cards"})
				require.NoError(t, err)
				require.Equal(t, c.written, len(history.Versions) == 2)
				if c.want == accepted {
					require.Equal(t, history.Versions[0].Version, resp.Version)
				}
				f.waitInForce("cards", history.Versions[0].Version, maxFaultSpreadTime)
				again, err := f.daemons[1].Apply(t.Context(), &v1.ApplyRequest{Document: history.Versions[0].Document})
				require.NoError(t, err)
				require.Equal(t, accepted, again.Result, "what is stored can be applied again")
				require.Equal(t, history.Versions[0].Version, again.Version)
			})
		})
	}
}

func TestApplyRefusesBadDocuments(t *testing.T) {
	inBubble(t, 1, 1, func(t *testing.T, f *fleet) {
		bad := strings.Replace(string(source("cards", "a")), "owner: a", "ownr: a\ntipe: plain", 1)
		resp, err := f.daemons[0].Apply(t.Context(), &v1.ApplyRequest{Document: []byte(bad)})
		require.NoError(t, err)
		require.Equal(t, refused, resp.Result)
		require.Len(t, resp.Problems, 3)
		require.Equal(t, "ownr", resp.Problems[1].Path)
		require.Equal(t, uint32(3), resp.Problems[1].Line)
		require.Zero(t, f.platform.Ledger().Calls[platformfaker.OperationPut])
	})
}

func TestDryRun(t *testing.T) {
	inBubble(t, 1, 1, func(t *testing.T, f *fleet) {
		version := f.mustApply(f.daemons[0], "cards", "a", 0)
		resp, err := f.daemons[0].Apply(t.Context(), &v1.ApplyRequest{Document: source("cards", "b"), ExpectedVersion: &version, DryRun: true})
		require.NoError(t, err)
		require.Equal(t, accepted, resp.Result)
		require.Equal(t, "-owner: a\n+owner: b\n", resp.Difference)
		require.Equal(t, uint64(1), f.platform.Ledger().Calls[platformfaker.OperationPut])
	})
}

// Operators read, change and apply a document at the same time, with lost answers and stale reads: the last version
// contains every accepted edit exactly once.
func TestConcurrentEditsAreNotLost(t *testing.T) {
	inBubble(t, 4, 2, func(t *testing.T, f *fleet) {
		f.mustApply(f.daemons[0], "cards", "start", 0)
		f.platform.Inject(platformfaker.Fault{Kind: platformfaker.FaultAnswerLost, Count: 5})
		f.platform.Inject(platformfaker.Fault{Kind: platformfaker.FaultStaleRead, Count: 10})
		done := make(chan []string)
		for i, d := range f.daemons {
			go func() {
				var mine []string
				for n := 0; n < 8; {
					s, err := d.Get(t.Context(), &v1.GetServiceRequest{Name: "cards"})
					if err != nil {
						continue
					}
					edit := fmt.Sprintf("op%d.%d", i, n)
					document := strings.Replace(string(s.Service.Document), "owner: ", "owner: "+edit+"/", 1)
					resp, err := d.Apply(t.Context(), &v1.ApplyRequest{Document: []byte(document), ExpectedVersion: &s.Service.Version})
					if err == nil && resp.Result == accepted {
						mine = append(mine, edit)
						n++
					}
					time.Sleep(time.Millisecond)
				}
				done <- mine
			}()
		}
		var all []string
		for range f.daemons {
			all = append(all, <-done...)
		}
		last, err := f.daemons[0].Get(t.Context(), &v1.GetServiceRequest{Name: "cards"})
		require.NoError(t, err)
		for _, edit := range all {
			require.Equal(t, 1, strings.Count(string(last.Service.Document), edit+"/"), edit)
		}
		require.Len(t, all, 32)
	})
}

func TestDeleteStoresTombstone(t *testing.T) {
	inBubble(t, 4, 2, func(t *testing.T, f *fleet) {
		d := f.daemons[0]
		first := f.mustApply(d, "cards", "a", 0)
		f.waitInForce("cards", first, maxSpreadTime)
		stale, err := d.Delete(t.Context(), &v1.DeleteServiceRequest{Name: "cards", ExpectedVersion: first - 1})
		require.NoError(t, err)
		require.Equal(t, conflict, stale.Result)
		f.platform.Inject(platformfaker.Fault{Kind: platformfaker.FaultAnswerLost, Count: 1})
		deleted, err := d.Delete(t.Context(), &v1.DeleteServiceRequest{Name: "cards", ExpectedVersion: first, Author: "me"})
		require.NoError(t, err)
		require.Equal(t, accepted, deleted.Result)
		f.waitInForce("cards", deleted.Version, maxSpreadTime)
		for _, d := range f.daemons {
			_, _, ok := d.Lookup("cards")
			require.False(t, ok)
			require.Empty(t, d.Services())
		}
		_, err = d.Get(t.Context(), &v1.GetServiceRequest{Name: "cards"})
		require.Equal(t, refuser.ServiceNotFound, refuser.From(err).Code)
		// A stale list from before the delete does not restore the document, even after a restart.
		f.platform.Inject(platformfaker.Fault{Kind: platformfaker.FaultStaleRead, Count: 3})
		f.daemons[3].kill()
		f.daemons[3].start()
		f.waitReady()
		_, _, ok := f.daemons[3].Lookup("cards")
		require.False(t, ok)
		f.platform.ClearFaults()
		again := f.mustApply(f.daemons[3], "cards", "b", 0)
		require.Greater(t, again, deleted.Version)
		f.waitInForce("cards", again, maxSpreadTime)
		history, err := d.History(t.Context(), &v1.HistoryRequest{Name: "cards"})
		require.NoError(t, err)
		require.Len(t, history.Versions, 3)
		require.True(t, history.Versions[1].Deleted)
		require.Equal(t, "me", history.Versions[1].Author)
		require.Equal(t, string(source("cards", "a")), string(history.Versions[2].Document))
	})
}

func TestHistoryIsBounded(t *testing.T) {
	inBubble(t, 1, 1, func(t *testing.T, f *fleet) {
		version := uint64(0)
		for i := range MaxHistoryVersions + 20 {
			version = f.mustApply(f.daemons[0], "cards", fmt.Sprintf("owner-%d", i), version)
		}
		history, err := f.daemons[0].History(t.Context(), &v1.HistoryRequest{Name: "cards"})
		require.NoError(t, err)
		require.Len(t, history.Versions, MaxHistoryVersions+1)
		for i, v := range history.Versions {
			require.Equal(t, version-uint64(i), v.Version)
			require.Contains(t, string(v.Document), fmt.Sprintf("owner-%d\n", MaxHistoryVersions+19-i))
		}
		old, err := f.daemons[0].Get(t.Context(), &v1.GetServiceRequest{Name: "cards", Version: version - 9, Effective: true})
		require.NoError(t, err)
		require.Contains(t, string(old.Service.Document), "retention: 24h")
	})
}

func TestReadsDuringStoreOutage(t *testing.T) {
	inBubble(t, 2, 1, func(t *testing.T, f *fleet) {
		version := f.mustApply(f.daemons[0], "cards", "a", 0)
		f.waitInForce("cards", version, maxSpreadTime)
		f.platform.Inject(platformfaker.Fault{Kind: platformfaker.FaultOutage})
		s, err := f.daemons[1].Get(t.Context(), &v1.GetServiceRequest{Name: "cards"})
		require.NoError(t, err)
		require.Equal(t, version, s.Service.Version)
		require.Contains(t, string(s.Service.Document), "owner: a")
		_, err = f.daemons[1].History(t.Context(), &v1.HistoryRequest{Name: "cards"})
		require.Equal(t, refuser.StoreUnavailable, refuser.From(err).Code)
		list, err := f.daemons[1].List(t.Context(), nil)
		require.NoError(t, err)
		require.Len(t, list.Services, 1)
	})
}

// A document that this release cannot parse leaves the earlier one in force and is still forwarded.
func TestUnreadableDocument(t *testing.T) {
	inBubble(t, 2, 1, func(t *testing.T, f *fleet) {
		version := f.mustApply(f.daemons[0], "cards", "a", 0)
		f.waitInForce("cards", version, maxSpreadTime)
		bad := Item{Name: "cards", Version: version + 1, Text: []byte("not json")}
		f.daemons[0].enqueueStep(t.Context(), func(m *machine, _ time.Time) []effect { return m.applyAccepted(bad) })
		time.Sleep(time.Second)
		for _, d := range f.daemons {
			_, got, ok := d.Lookup("cards")
			require.True(t, ok)
			require.Equal(t, version, got)
			require.Equal(t, version+1, d.view.Load().entries["cards"].newest.Version)
		}
	})
}
