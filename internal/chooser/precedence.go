package chooser

const (
	// maxFillShare is the maximum share of a target's memory for requests that is used; the rest allows for the lag of the loads
	// that other daemons report.
	maxFillShare = 0.97
	// maxRanks bounds the ranks that leave room to the ranks before them.
	maxRanks = 3
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

// reserves are the shares of a target's memory that a generation which has not begun leaves to others.
type reserves struct {
	// begun is left to streams that have begun.
	begun float64
	// rank is what each rank leaves to the ranks before it, for up to maxRanks ranks.
	rank float64
	// ahead is left to all ranks before while these are the whole demand, and less as they are less of it.
	ahead float64
	// beyond is what requests beyond the usual share of their workspace leave to all others.
	beyond float64
	// returning is what new clients leave to those of their rank that return after a refusal.
	returning float64
	// unranked is the share of requests whose rank is ignored, so that no rank is starved by those before it.
	unranked float64
}

var (
	// ordinaryReserves hold where all streams of a service have the same priority.
	ordinaryReserves = reserves{rank: 0.03, beyond: 0.15, returning: 0.01, unranked: 0.25}
	// contendedReserves hold where streams compete by priority. Targets drop streams when memory runs out, and the ranks ahead need room
	// until all daemons know that they take it.
	contendedReserves = reserves{begun: 0.05, ahead: 0.3, beyond: 0.15, returning: 0.02, unranked: 0.05}
)

// Precedence orders generations for scarce memory; its zero value is the highest precedence of a new client.
type Precedence struct {
	// Rank is the number of ranks that go before the rank of the generation.
	Rank int
	// Returning is true for a client that was refused before.
	Returning bool
	// Begun is true for a stream that has delivered events; it goes before all others.
	Begun bool
	// Ahead is the share of the recent demand that is of ranks before that of the generation, in [0,1]; known where ranks compete.
	Ahead float64
	// Beyond is true for a request beyond the usual share of its workspace.
	Beyond bool
	// Contended is true if generations of different ranks compete for the memory of the service.
	Contended bool
	// Draw is uniform in [0,1).
	Draw float64
}

// reserves returns what the generation leaves to others.
func (s Precedence) reserves() reserves {
	if s.Contended {
		return contendedReserves
	}
	return ordinaryReserves
}

// maxFill returns the share of a target's memory for requests up to which the generation is admitted.
func (s Precedence) maxFill() float64 {
	if s.Begun {
		return maxFillShare
	}
	kept := s.reserves()
	share := maxFillShare - kept.begun
	if !s.Returning {
		share -= kept.returning
	}
	if s.Beyond {
		share -= kept.beyond
	}
	if s.Draw < 1-kept.unranked {
		share -= kept.rank*float64(min(s.Rank, maxRanks)) + kept.ahead*s.Ahead
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
	if s.Draw < 1-s.reserves().unranked {
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
