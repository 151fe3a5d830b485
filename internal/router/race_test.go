package router

import "testing"

// withoutRace leaves a long test to the run without the race detector, which .ci/test makes as well.
func withoutRace(t *testing.T) {
	t.Helper()
	if raceEnabled {
		t.Skip("runs without the race detector")
	}
}
