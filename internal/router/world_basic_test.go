package router

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

func TestWorldServesModelAndBookings(t *testing.T) {
	inWorld(t, 4, twoChains(), func(w *world) {
		l := w.newLoad(12, 10*time.Second)
		require.Nil(t, l.generate(w.client, "g-1"))
		require.Nil(t, l.book(w.client, "b-1"))
		require.Nil(t, l.book(w.client, "b-1"))
		require.Len(t, w.service.Ledger().Runs, 1)
	})
}
