package chooser

const (
	// fullShare is the part of a target's memory for requests that is given away; reports of other daemons lag.
	fullShare = 0.97
	// rankShare is the part that each rank leaves to the ranks before it, for up to mostRanks ranks.
	rankShare = 0.03
	mostRanks = 3
	// returnShare is the part that new clients leave to those of their rank that come back after a refusal.
	returnShare = 0.01
	// evenChance is the share of requests whose rank does not count, so that none is starved by the ranks before it.
	evenChance = 0.25
	// largeRequest is how many times as large as usual the requests are that there must be room for before any is let in. If
	// each had to find room for itself only, small ones would fill every gap that opens and large ones would starve.
	largeRequest = 2
	// largeShare bounds that room, as a part of a target's memory for requests.
	largeShare = 0.05
)

// Standing is what the claim of a generation on scarce memory rests on; that of the zero value is the best of new clients.
type Precedence struct {
	// Rank is how many ranks go before that of the generation.
	Rank int
	// Returning is true for a client that was refused before.
	Returning bool
	// Begun is true for a stream that has delivered events, which goes before all others.
	Begun bool
	// Draw is uniform in [0,1).
	Draw float64
}

// share returns the part of a target's memory for requests up to which the generation is let in.
func (s Precedence) share() float64 {
	if s.Begun {
		return fullShare
	}
	share := fullShare
	if !s.Returning {
		share -= returnShare
	}
	if s.Draw < 1-evenChance {
		share -= rankShare * float64(min(s.Rank, mostRanks))
	}
	return share
}

// fits tells whether a target that has used so much of the room for requests, both in tokens times layers, takes the
// generation on so many layers.
func (d Demand) fits(used, room float64, layers uint32) bool {
	need := d.Tokens * float64(layers)
	if !d.Precedence.Begun {
		large := largeRequest * (d.Engine.UsualPrompt + d.Engine.UsualAnswer) * float64(layers)
		need = max(need, min(large, largeShare*room))
	}
	return room > 0 && used+need <= d.Precedence.share()*room
}
