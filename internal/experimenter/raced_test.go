//go:build race

package experimenter

const raceEnabled = true
