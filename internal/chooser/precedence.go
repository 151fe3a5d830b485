package chooser

const (
	// maxFillShare is the maximum share of a target's memory for requests that is used; the rest allows for the lag of the loads
	// that other daemons report.
	maxFillShare = 0.97
	// rankReserve is the share that each rank leaves to the ranks before it, for up to maxRanks ranks.
	rankReserve = 0.03
	maxRanks    = 3
	// returnReserve is the share that new clients leave to those of their rank that return after a refusal.
	returnReserve = 0.01
	// unrankedShare is the share of requests whose rank is ignored, so that no rank is starved by those before it.
	unrankedShare = 0.25
	// largeRequestFactor is the size of a large request, in requests of usual size. Any request is admitted only where a large
	// one would fit too: if each needed capacity for itself only, small ones would fill every gap and large ones would starve.
	largeRequestFactor = 2
	// maxLargeRequestShare bounds that capacity, as a share of a target's memory for requests.
	maxLargeRequestShare = 0.05
	// limitRankReserve is the share of the burst of a target with a limit that each rank leaves to the ranks before it, and
	// limitReturnReserve what new clients leave to those that return.
	limitRankReserve   = 0.2
	limitReturnReserve = 0.1
)

// Precedence orders generations for scarce memory; its zero value is the highest precedence of a new client.
type Precedence struct {
	// Rank is the number of ranks that go before the rank of the generation.
	Rank int
	// Returning is true for a client that was refused before.
	Returning bool
	// Begun is true for a stream that has delivered events; it goes before all others.
	Begun bool
	// Draw is uniform in [0,1).
	Draw float64
}

// maxFill returns the share of a target's memory for requests up to which the generation is admitted.
func (s Precedence) maxFill() float64 {
	if s.Begun {
		return maxFillShare
	}
	share := maxFillShare
	if !s.Returning {
		share -= returnReserve
	}
	if s.Draw < 1-unrankedShare {
		share -= rankReserve * float64(min(s.Rank, maxRanks))
	}
	return share
}

// LimitReserve returns the share of the burst that a target with a limit of requests keeps for requests before this one, in [0,1).
func (s Precedence) LimitReserve() float64 {
	if s.Begun {
		return 0
	}
	reserve := 0.0
	if !s.Returning {
		reserve += limitReturnReserve
	}
	if s.Draw < 1-unrankedShare {
		reserve += limitRankReserve * float64(min(s.Rank, maxRanks))
	}
	return reserve
}

// fits reports whether a target admits the generation on a number of layers, given the used part and the capacity of its memory
// for requests, both in tokens times layers.
func (d Demand) fits(used, capacity float64, layers uint32) bool {
	need := d.Tokens * float64(layers)
	if !d.Precedence.Begun {
		large := largeRequestFactor * (d.Engine.UsualPrompt + d.Engine.UsualAnswer) * float64(layers)
		need = max(need, min(large, maxLargeRequestShare*capacity))
	}
	return capacity > 0 && used+need <= d.Precedence.maxFill()*capacity
}
