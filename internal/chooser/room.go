package chooser

import (
	"time"

	"github.com/rattantray/rattantray/internal/assessor"
	"github.com/rattantray/rattantray/internal/placer"
)

const (
	// gapShare is the share of the objective for pauses that passes may take; the rest allows for prompts and transfers.
	gapShare = 0.8
	// passWait is the time of a pass together with the wait for the one before it, in passes.
	passWait = 1.25
	// minPaceShare is the minimum share of the memory of a slow target that is used.
	minPaceShare = 0.15
	// rankWait is how much longer those wait to whom all others go before, as a share of the time of an answer, so that the urgent ones
	// return first.
	rankWait = 0.75
)

// meanAnswerShare is the share of an answer that is in memory on average over its time, with a margin for answers that get longer than
// expected.
const meanAnswerShare = 0.6

// MeanTokens returns the tokens that a generation keeps on average, given those of its prompt and those that it keeps at its end. Where
// all daemons know how many generations run at a target, their sum is near the sum of these.
func MeanTokens(prompt, tokens float64) float64 { return prompt + meanAnswerShare*(tokens-prompt) }

// paceCapacity returns the memory of a target, in tokens times layers, that its requests may use while their streams keep their
// objective for pauses. An event passes all layers within a pause, so each target may take the part of it for the layers that it holds.
// A target that is too slow even for few streams still gets some, as a late answer is better than none.
func (d Demand) paceCapacity(v *assessor.View, memory float64, layers uint32) float64 {
	e := d.Engine
	if !d.SharesLoads || d.GapObjective <= 0 || e.StepsPerPass <= 0 || e.Layers == 0 {
		return memory
	}
	pass := float64(e.StepsPerPass) * passWait * max(e.Kinds[v.Kind].Pace, 0.01) * max(v.Pace, 1)
	step := gapShare * d.GapObjective.Seconds() / pass
	tokensPerStream := max(e.UsualPrompt+e.UsualAnswer/2, 1)
	perStream := e.SequenceTime.Seconds() + e.ContextTime.Seconds()*tokensPerStream/1000
	if perStream <= 0 {
		return memory
	}
	streams := (step - e.StepTime.Seconds()) / perStream
	return min(max(streams*tokensPerStream*float64(layers), minPaceShare*memory), memory)
}

// room returns the memory of a target that holds a number of layers which its requests may use, in tokens times layers.
func (d Demand) room(v *assessor.View, layers uint32) float64 {
	return d.paceCapacity(v, placer.MemoryOf(d.Engine, v.Kind).TokenLayers(layers), layers)
}

// Fill returns the used share of the memory of all holders of a layer, for the layer whose holders have least room. It is 1
// if no usable target holds some layer.
func (c *Chooser) Fill(d Demand) float64 {
	e, views := d.Engine, c.Targets.Service(d.Service)
	load := c.loadEstimate(views, d)
	used, capacity := make([]float64, e.Layers), make([]float64, e.Layers)
	for i := range views {
		v := &views[i]
		first, end, _ := v.ReadyLayers()
		if !v.Usable() || end <= first {
			continue
		}
		room := d.room(v, end-first)
		taken := load(v, room, end-first)
		for l := first; l < min(end, e.Layers); l++ {
			used[l] += taken / float64(end-first)
			capacity[l] += room / float64(end-first)
		}
	}
	fill := 0.0
	for l := range used {
		if capacity[l] <= 0 {
			return 1
		}
		fill = max(fill, used[l]/capacity[l])
	}
	return fill
}

// TimeToRoom returns how long it takes until there may be room for a generation that was refused because its rank leaves the rest to
// others: until enough of the answers in progress have ended. It returns 0 where ranks do not compete.
func (c *Chooser) TimeToRoom(d Demand) time.Duration {
	if !d.Precedence.Contended || d.Engine.Layers == 0 {
		return 0
	}
	fill := c.Fill(d)
	excess := 0.0
	if fill > 0 {
		excess = max(fill-d.Precedence.maxFill(), 0) / fill
	}
	return time.Duration((excess + rankWait*d.Precedence.Ahead) * float64(c.AnswerTime()))
}
