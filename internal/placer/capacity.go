package placer

import (
	"math"
	"time"

	"github.com/rattantray/rattantray/internal/matcher"
)

// reserveShare is for which part of its slots, filled by usual requests, a target keeps memory: enough to take over the load
// of a data centre that lost its pipeline.
const reserveShare = 0.6

const (
	// leastRequests is for how many usual requests a target keeps memory at the least, so that a large one still has room.
	leastRequests = 6
	// slowTransfer is the time of a usual prompt from one data centre to another from which on the pipes count as slow: a few
	// times it is the time that clients wait for a first event.
	slowTransfer = 100 * time.Millisecond
	// reserveSteps is how many reserves are tried between the usual one and the least.
	reserveSteps = 16
)

// SlowPipes tells whether a usual prompt takes long from one data centre to another.
func SlowPipes(e *matcher.Engine) bool {
	return e.PipeBytesPerSecond > 0 && e.UsualPrompt*e.ActivationBytes/e.PipeBytesPerSecond > slowTransfer.Seconds()
}

// ReserveFor returns the tokens of requests that the targets of a data centre should keep memory for: as many as usual where the
// model fits beside them, else as many as it leaves, where that is enough for some requests. false says that the targets of the
// data centre can't hold the model.
func ReserveFor(e *matcher.Engine, kinds []string) (tokens float64, whole bool) {
	most := Reserve(e)
	least := min(leastRequests*max(e.UsualPrompt+e.UsualAnswer, 1), most)
	for step := range reserveSteps {
		tokens = most * math.Pow(least/most, float64(step)/(reserveSteps-1))
		room := uint32(0)
		for _, kind := range kinds {
			room += MemoryOf(e, kind).Capacity(tokens)
		}
		if room >= e.Layers {
			return tokens, true
		}
	}
	return most, false
}

// Memory is the memory of a target and what layers and requests take of it, in bytes.
type Memory struct {
	Total float64
	Layer float64
	// Token is what one token of a request takes over all layers.
	Token  float64
	Layers uint32
}

// MemoryOf returns the memory of a target of a kind of accelerator.
func MemoryOf(e *matcher.Engine, kind string) Memory {
	return Memory{Total: e.Kinds[kind].MemoryBytes, Layer: e.LayerBytes, Token: e.TokenBytes, Layers: e.Layers}
}

// Reserve returns the tokens of requests that a target should keep memory for.
func Reserve(e *matcher.Engine) float64 {
	return reserveShare * float64(max(e.Slots, 1)) * max(e.UsualPrompt+e.UsualAnswer, 1)
}

// Capacity returns how many layers fit beside a number of tokens of requests; at least one where a layer fits at all.
func (m Memory) Capacity(tokens float64) uint32 {
	if m.Layers == 0 || m.Layer <= 0 || m.Total < m.Layer {
		return 0
	}
	each := m.Layer + tokens*m.Token/float64(m.Layers)
	return uint32(min(max(math.Floor(m.Total/each), 1), float64(m.Layers)))
}

// TokenLayers returns how many tokens times layers of requests fit beside so many layers.
func (m Memory) TokenLayers(held uint32) float64 {
	if m.Token <= 0 || m.Layers == 0 {
		return math.Inf(1)
	}
	return max(m.Total-float64(held)*m.Layer, 0) / (m.Token / float64(m.Layers))
}
