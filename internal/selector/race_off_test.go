//go:build !race

package selector

// raceEnabled reports whether the race detector is on, which makes the tests several times slower.
const raceEnabled = false
