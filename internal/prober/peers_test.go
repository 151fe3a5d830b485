package prober

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/proto"

	peerv1 "github.com/rattantray/rattantray/internal/api/rattantray/peer/v1"
	"github.com/rattantray/rattantray/internal/cataloger"
	enginev1 "github.com/rattantray/rattantray/pkg/api/rattantray/engine/v1"
)

func TestIdleTargetsAreSharedOnlyOnChange(t *testing.T) {
	const total = 100
	report := func(running uint32, used uint64) *enginev1.LoadResponse {
		return &enginev1.LoadResponse{Running: running, KvUsedBytes: used, KvTotalBytes: total}
	}
	steps := []struct {
		name  string
		after time.Duration
		load  *enginev1.LoadResponse
		sent  int
	}{
		{"the first report", 0, report(0, 10), 1},
		{"still idle", time.Second, report(0, 10), 0},
		{"small change in memory", time.Second, report(0, 14), 0},
		{"larger change in memory", time.Second, report(0, 16), 1},
		{"work", time.Second, report(3, 16), 1},
		{"the same work, which decays at the neighbours", time.Second, report(3, 16), 1},
		{"idle again", time.Second, report(0, 16), 1},
		{"idle for a long time", idleRefresh, report(0, 16), 1},
	}
	now := time.Unix(100, 0)
	s := sample{}
	for _, step := range steps {
		now = now.Add(step.after)
		s.load = step.load
		sent := 0
		if s.due(now) {
			sent = 1
			s.sent, s.sentAt = s.load, now
		}
		require.Equal(t, step.sent, sent, step.name)
	}
}

func TestSummariesKeepTheLeavingFlag(t *testing.T) {
	seen := map[string]bool{}
	p := &Prober{
		Fleet: func() cataloger.Fleet {
			return cataloger.Fleet{Targets: []cataloger.Target{{Name: "stays", State: cataloger.StateLive}, {Name: "leaves", State: cataloger.StateLeaving}}}
		},
		ObserveLoad: func(name string, load *enginev1.LoadResponse) { seen[name] = load.Leaving },
	}
	body, err := proto.Marshal(&peerv1.LoadSummary{Loads: []*peerv1.TargetLoad{{Target: "stays"}, {Target: "leaves"}}})
	require.NoError(t, err)
	_, err = p.handleLoads(t.Context(), "", body)
	require.NoError(t, err)
	require.Equal(t, map[string]bool{"stays": false, "leaves": true}, seen)
}
