//go:build race

package router

// raceEnabled tells that the race detector makes the tests several times slower.
const raceEnabled = true
