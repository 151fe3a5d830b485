package router

import (
	"errors"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/rattantray/rattantray/internal/cataloger"
	"github.com/rattantray/rattantray/internal/commander"
	"github.com/rattantray/rattantray/internal/planner"
)

func TestProgressReportsOrderOutcomes(t *testing.T) {
	change := planner.Change{Kind: planner.ChangeLoad, Target: "e", Holding: cataloger.Holding{Version: "v2", FirstLayer: 4, EndLayer: 8}}
	other := change
	other.Kind = planner.ChangeUnload
	cases := []struct {
		name     string
		outcomes []commander.Outcome
		want     string
	}{
		{"none was sent", nil, ""},
		{"accepted", []commander.Outcome{{Change: change, Verdict: commander.VerdictSend, Accepted: true}}, "accepted"},
		{"refused", []commander.Outcome{{Change: change, Verdict: commander.VerdictSend, Reason: "no memory"}}, "refused: no memory"},
		{"no answer", []commander.Outcome{{Change: change, Verdict: commander.VerdictSend, Err: errors.New("cut off")}}, "no answer: cut off"},
		{"not sent", []commander.Outcome{{Change: change, Verdict: commander.VerdictSettling}}, "settling"},
		{"the last one counts", []commander.Outcome{{Change: change, Verdict: commander.VerdictBusy}, {Change: change, Verdict: commander.VerdictSend, Accepted: true}}, "accepted"},
		{"an order for another change", []commander.Outcome{{Change: other, Verdict: commander.VerdictSend, Accepted: true}}, ""},
	}
	begin := time.Unix(1000, 0)
	for _, tt := range cases {
		t.Run(tt.name, func(t *testing.T) {
			p := newProgress()
			placed := planner.Placement{Changes: []planner.Change{change}, Bound: 1}
			p.recordPlan("m", "v2", 0, begin, placed)
			for _, o := range tt.outcomes {
				p.recordOutcome("m", o)
			}
			p.recordPlan("m", "v2", 0, begin.Add(time.Second), placed)
			report := p.report("m", begin.Add(3*time.Second))
			require.Equal(t, 2*time.Second, report.Age.AsDuration())
			require.Len(t, report.Changes, 1)
			require.Equal(t, tt.want, report.Changes[0].Outcome)
		})
	}
}

func TestProgressForgetsOldOutcomes(t *testing.T) {
	change := planner.Change{Kind: planner.ChangeLoad, Target: "e"}
	p := newProgress()
	p.recordOutcome("m", commander.Outcome{Change: change})
	require.Nil(t, p.report("m", time.Time{}).Age, "an order before any plan is not kept")
	p.recordPlan("m", "v1", 0, time.Time{}, planner.Placement{Changes: []planner.Change{change}})
	p.recordOutcome("m", commander.Outcome{Change: change, Verdict: commander.VerdictSend, Accepted: true})
	p.recordPlan("m", "v1", 0, time.Time{}, planner.Placement{})
	require.Empty(t, p.models["m"].outcomes, "outcomes of targets without a change")
	p.forget("m")
	require.Nil(t, p.report("m", time.Time{}).Age)
}
