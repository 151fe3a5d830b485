package matcher

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

func TestCheckNamesWhatMakesNoSense(t *testing.T) {
	negative := -1
	for want, change := range map[string]func(d *Document){
		"route all: priority is negative":         func(d *Document) { d.Routes[0].Priority = -1 },
		"route all: gap objective is negative":    func(d *Document) { d.Routes[0].GapObjective = -time.Second },
		"route all: timeout is negative":          func(d *Document) { d.Routes[0].Timeout = -1 },
		"route letters: weight of llm is":         func(d *Document) { d.Routes[1].Shares[0].Weight = -90 },
		"workspace phone: priority is negative":   func(d *Document) { d.Workspaces[1].Priority = &negative },
		"service llm: pace of a100 is negative":   func(d *Document) { d.Services[0].Engine.Kinds["a100"] = Accelerator{Pace: -2} },
		"service llm: steps in a pass is neg":     func(d *Document) { d.Services[0].Engine.StepsPerPass = -5 },
		"service llm: usual answer is negative":   func(d *Document) { d.Services[0].Engine.UsualAnswer = -5 },
		"service llm: time of context is negativ": func(d *Document) { d.Services[0].Engine.ContextTime = -5 },
	} {
		d := testDocument()
		d.Services[0].Engine = &Engine{Kinds: map[string]Accelerator{"a100": {Pace: 2.4}}}
		require.NoError(t, d.Check())
		d.Routes[0].Shares[0].Weight = 0
		require.NoError(t, d.Check(), "a single share without a weight gets all requests")
		change(&d)
		require.ErrorContains(t, d.Check(), want)
	}
}
