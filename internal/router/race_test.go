package router

import "testing"

// skipUnderRace skips a long test under the race detector; .ci/test also runs the tests without it.
func skipUnderRace(t *testing.T) {
	t.Helper()
	if raceEnabled {
		t.Skip("runs without the race detector")
	}
}
