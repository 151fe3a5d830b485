//go:build !race

package selector

// raceEnabled tells that the race detector makes the tests several times slower.
const raceEnabled = false
