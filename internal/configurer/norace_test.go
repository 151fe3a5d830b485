//go:build !race

package configurer

// raceEnabled reports whether the race detector runs, which makes processor time meaningless.
const raceEnabled = false
