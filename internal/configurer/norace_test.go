//go:build !race

package configurer

// raceEnabled is true where the race detector makes processor time meaningless.
const raceEnabled = false
