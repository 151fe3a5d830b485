package verifier

import (
	"flag"
	"os"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	enginev1 "github.com/rattantray/rattantray/pkg/api/rattantray/engine/v1"
	v1 "github.com/rattantray/rattantray/pkg/api/rattantray/v1"
)

func TestMain(m *testing.M) {
	_ = flag.Set("rapid.seed", "4711")
	flag.Parse()
	os.Exit(m.Run())
}

func receipt(version string, bounds ...uint32) *v1.Receipt {
	r := &v1.Receipt{Version: version}
	for i := 1; i < len(bounds); i++ {
		r.Stages = append(r.Stages, &v1.StageRun{Target: string(rune('a' + i - 1)), FirstLayer: bounds[i-1], EndLayer: bounds[i]})
	}
	return r
}

func part(id string, attempt uint32, position uint64, r *v1.Receipt) *enginev1.GenerateResponse {
	return &enginev1.GenerateResponse{RequestId: id, Attempt: attempt, Position: position, Receipt: r}
}

func TestCheckCases(t *testing.T) {
	complete := receipt("v1", 0, 4, 8)
	gap := receipt("v1", 0, 4, 8)
	gap.Stages[1].FirstLayer = 5
	overlap := receipt("v1", 0, 4, 8)
	overlap.Stages[1].FirstLayer = 3
	swapped := receipt("v1", 0, 4, 8)
	swapped.Stages[0], swapped.Stages[1] = swapped.Stages[1], swapped.Stages[0]
	empty := receipt("v1", 0, 4, 4, 8)
	otherTarget := receipt("v1", 0, 4, 8)
	otherTarget.Stages[1].Target = "z"
	cases := []struct {
		name    string
		part    *enginev1.GenerateResponse
		verdict Verdict
		reason  Reason
	}{
		{"whole", part("r", 2, 5, complete), Deliver, ReasonNone},
		{"foreign request", part("q", 2, 5, complete), Drop, ReasonForeignRequest},
		{"old attempt", part("r", 1, 5, complete), Drop, ReasonOldAttempt},
		{"future attempt", part("r", 3, 5, complete), Drop, ReasonUnknownAttempt},
		{"repeated", part("r", 2, 4, complete), Drop, ReasonRepeatedPosition},
		{"skipped", part("r", 2, 6, complete), Fail, ReasonSkippedPosition},
		{"no receipt", part("r", 2, 5, nil), Fail, ReasonNoReceipt},
		{"empty receipt", part("r", 2, 5, &v1.Receipt{Version: "v1"}), Fail, ReasonNoReceipt},
		{"wrong version", part("r", 2, 5, receipt("v2", 0, 4, 8)), Fail, ReasonWrongVersion},
		{"first layer missing", part("r", 2, 5, receipt("v1", 1, 4, 8)), Fail, ReasonLayerMissing},
		{"last layer missing", part("r", 2, 5, receipt("v1", 0, 4, 7)), Fail, ReasonLayerMissing},
		{"too many layers", part("r", 2, 5, receipt("v1", 0, 4, 9)), Fail, ReasonLayerRepeated},
		{"gap", part("r", 2, 5, gap), Fail, ReasonLayerMissing},
		{"layer twice", part("r", 2, 5, overlap), Fail, ReasonLayerRepeated},
		{"out of order", part("r", 2, 5, swapped), Fail, ReasonLayerMissing},
		{"empty stage", part("r", 2, 5, empty), Fail, ReasonLayerMissing},
		{"other target", part("r", 2, 5, otherTarget), Fail, ReasonWrongTarget},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			checker := New("r", "v1", 8, 5, 10)
			checker.BeginAttempt(2, []*enginev1.Stage{{Target: "a", EndLayer: 4}, {Target: "b", FirstLayer: 4, EndLayer: 8}})
			verdict, reason := checker.Check(c.part)
			require.Equal(t, c.verdict, verdict)
			require.Equal(t, c.reason, reason)
			require.Equal(t, verdict == Deliver, checker.NextPosition() == 6)
		})
	}
}

// TestStreamsAgainstOracle checks random streams with all kinds of faults; the oracle has the one valid part for each
// position.
func TestStreamsAgainstOracle(t *testing.T) {
	const layers = 6
	rapid.Check(t, func(t *rapid.T) {
		end := rapid.Uint64Range(1, 8).Draw(t, "end")
		checker := New("r", "v1", layers, 0, end)
		attempt := uint32(1)
		checker.BeginAttempt(attempt, nil)
		var delivered []uint64
		deliver := func(p *enginev1.GenerateResponse, valid bool) {
			verdict, _ := checker.Check(p)
			require.Equal(t, valid, verdict == Deliver)
			if verdict == Deliver {
				delivered = append(delivered, p.Position)
			}
		}
		t.Repeat(map[string]func(*rapid.T){
			"right part": func(t *rapid.T) {
				cut := rapid.Uint32Range(1, layers-1).Draw(t, "cut")
				deliver(part("r", attempt, uint64(len(delivered)), receipt("v1", 0, cut, layers)), uint64(len(delivered)) < end)
			},
			"any part": func(t *rapid.T) {
				id := rapid.SampledFrom([]string{"r", "q"}).Draw(t, "id")
				a := rapid.Uint32Range(0, attempt+1).Draw(t, "attempt")
				position := rapid.Uint64Range(0, end+1).Draw(t, "position")
				version := rapid.SampledFrom([]string{"v1", "v2", ""}).Draw(t, "version")
				bounds := rapid.SliceOfN(rapid.Uint32Range(0, layers+1), 1, 5).Draw(t, "bounds")
				ordered := bounds[0] == 0 && bounds[len(bounds)-1] == layers
				for i := 1; i < len(bounds); i++ {
					ordered = ordered && bounds[i] > bounds[i-1]
				}
				valid := id == "r" && a == attempt && position == uint64(len(delivered)) && version == "v1" && ordered && position < end
				deliver(part(id, a, position, receipt(version, bounds...)), valid)
			},
			"next attempt": func(*rapid.T) {
				attempt++
				checker.BeginAttempt(attempt, nil)
			},
			"": func(t *rapid.T) {
				for i, p := range delivered {
					require.Equal(t, uint64(i), p)
				}
				require.Equal(t, uint64(len(delivered)), checker.NextPosition())
				require.Equal(t, uint64(len(delivered)) == end, checker.Done())
			},
		})
	})
}
