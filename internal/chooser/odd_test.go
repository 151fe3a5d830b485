package chooser

import (
	"math"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/rattantray/rattantray/internal/assessor"
	"github.com/rattantray/rattantray/internal/cataloger"
	"github.com/rattantray/rattantray/internal/matcher"
)

// TestTargetWithTooManyLayersIsNotUsed guards against requests to a target that an entry of another writer names, with more layers than
// the model has or than its memory holds.
func TestTargetWithTooManyLayersIsNotUsed(t *testing.T) {
	e := &matcher.Engine{
		Slots: 10, Layers: 12, LayerBytes: 1e9, TokenBytes: 1e3, StepTime: time.Millisecond, UsualPrompt: 10, UsualAnswer: 10,
		Kinds: map[string]matcher.Accelerator{"l4": {MemoryBytes: 7e9, Pace: 1}},
	}
	d := Demand{Service: "llm", Engine: e, Tokens: 20, PrefillTokens: 10}
	for _, end := range []uint32{12, 13, 1 << 20, math.MaxUint32} {
		targets := assessor.New(time.Now)
		put := func(name, kind string, first, end uint32) {
			targets.Put(cataloger.Target{
				Name: name, Service: "llm", Address: name + ":80", DataCentre: "a", Kind: kind, State: cataloger.StateLive, Incarnation: 1,
				Holdings: []cataloger.Holding{{Version: "1", FirstLayer: first, EndLayer: end, Ready: true}},
			})
		}
		put("odd", "l4", 0, end)
		put("unknown-kind", "x", 0, end)
		c := New(targets, time.Now)
		_, ok := c.Path(d, nil)
		require.False(t, ok, "layers 0 to %d", end)
		require.NotEmpty(t, c.NoPathReason(d))
		c.RetryAfter(d)
		put("a", "l4", 0, 6)
		put("b", "l4", 6, 12)
		for _, daemons := range []int{1, 4} {
			c.Daemons = func() int { return daemons }
			path, ok := c.Path(d, nil)
			require.True(t, ok, "layers 0 to %d", end)
			require.Equal(t, []string{"a", "b"}, []string{path[0].Target, path[1].Target})
		}
	}
}
