package router

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

func TestWorldServesModelAndBookings(t *testing.T) {
	inWorld(t, 4, twoChains(), func(w *world) {
		require.Nil(t, w.generate(w.client, "g-1", 12, 10*time.Second))
		require.Nil(t, w.book(w.client, "b-1", 10*time.Second))
		require.Nil(t, w.book(w.client, "b-1", 10*time.Second))
		require.Len(t, w.service.Ledger().Runs, 1)
	})
}
