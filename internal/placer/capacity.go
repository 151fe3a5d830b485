package placer

import (
	"math"
	"time"

	"github.com/rattantray/rattantray/internal/matcher"
)

// reserveShare is the fraction of its slots, filled by requests of usual size, for which a target keeps memory: enough to take
// over the load of a data centre that lost its pipeline.
const reserveShare = 0.6

const (
	// minRequests is the minimum number of requests of usual size for which a target keeps memory, so that a large one
	// still fits.
	minRequests = 6
	// slowTransferTime is the transfer time of a prompt of usual size between two data centres above which the pipes count as
	// slow. A few times this is how long clients wait for a first event.
	slowTransferTime = 100 * time.Millisecond
	// reserveSteps is how many reserves are tried from the usual one down to the minimum.
	reserveSteps = 16
)

// SlowPipes reports whether the transfer of a prompt of usual size between two data centres takes over slowTransferTime.
func SlowPipes(e *matcher.Engine) bool {
	return e.PipeBytesPerSecond > 0 && e.UsualPrompt*e.ActivationBytes/e.PipeBytesPerSecond > slowTransferTime.Seconds()
}

// ReserveFor returns for how many tokens of requests the targets of a data centre should keep memory, and whether they can hold
// the model alongside. It is the usual number if the model fits then, else as many as fit, down to those of minRequests.
func ReserveFor(e *matcher.Engine, kinds []string) (tokens float64, fits bool) {
	usual := Reserve(e)
	minimum := min(minRequests*max(e.UsualPrompt+e.UsualAnswer, 1), usual)
	for step := range reserveSteps {
		tokens = usual * math.Pow(minimum/usual, float64(step)/(reserveSteps-1))
		capacity := uint32(0)
		for _, kind := range kinds {
			capacity += MemoryOf(e, kind).Capacity(tokens)
		}
		if capacity >= e.Layers {
			return tokens, true
		}
	}
	return usual, false
}

// Memory is the memory of a target and what layers and requests use of it, in bytes.
type Memory struct {
	TotalBytes float64
	LayerBytes float64
	// TokenBytes is what one token of a request uses in all layers together.
	TokenBytes float64
	Layers     uint32
}

// MemoryOf returns the memory of a target with an accelerator of the given kind.
func MemoryOf(e *matcher.Engine, kind string) Memory {
	return Memory{TotalBytes: e.Kinds[kind].MemoryBytes, LayerBytes: e.LayerBytes, TokenBytes: e.TokenBytes, Layers: e.Layers}
}

// Reserve returns for how many tokens of requests a target usually keeps memory.
func Reserve(e *matcher.Engine) float64 {
	return reserveShare * float64(max(e.Slots, 1)) * max(e.UsualPrompt+e.UsualAnswer, 1)
}

// Capacity returns how many layers fit alongside a number of tokens of requests; at least one if a layer fits at all.
func (m Memory) Capacity(tokens float64) uint32 {
	if m.Layers == 0 || m.LayerBytes <= 0 || m.TotalBytes < m.LayerBytes {
		return 0
	}
	bytesPerLayer := m.LayerBytes + tokens*m.TokenBytes/float64(m.Layers)
	return uint32(min(max(math.Floor(m.TotalBytes/bytesPerLayer), 1), float64(m.Layers)))
}

// TokenLayers returns how many tokens of requests, multiplied by the layers that store them, fit alongside the held layers.
func (m Memory) TokenLayers(held uint32) float64 {
	if m.TokenBytes <= 0 || m.Layers == 0 {
		return math.Inf(1)
	}
	return max(m.TotalBytes-float64(held)*m.LayerBytes, 0) / (m.TokenBytes / float64(m.Layers))
}
