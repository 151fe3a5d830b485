package leaser

import (
	"context"
	"encoding/hex"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/rattantray/rattantray/internal/platformfaker"
)

// TestLeaseOfAnEarlierBuild guards against two holders of a duty while daemons of two builds run: commit 51f1867 wrote the lease and the
// session, and a daemon of this build must respect them until the session lapses, also with a field of a later build.
func TestLeaseOfAnEarlierBuild(t *testing.T) {
	const (
		lease   = "0a2e6c65617365732f73657373696f6e732f66726f6e742d3030312f302d656539623465306539386339336336332e31120966726f6e742d303031"
		session = "0a0966726f6e742d303031101620d00f"
		unknown = "c23e046d6f7265"
		holder  = "leases/sessions/front-001/0-ee9b4e0e98c93c63.1"
	)
	for name, more := range map[string]string{"as written": "", "with a field of a later build": unknown} {
		synctest.Test(t, func(t *testing.T) {
			store := platformfaker.New(platformfaker.Config{}).Store()
			for key, value := range map[string]string{"leases/duties/placement": lease, holder: session} {
				data, err := hex.DecodeString(value + more)
				require.NoError(t, err, name)
				_, err = store.Put(t.Context(), key, data, 0)
				require.NoError(t, err, name)
			}
			begin := time.Now()
			b := startLeaser(t, store, "b")
			defer b.end()
			ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
			defer cancel()
			taken, err := b.Acquire(ctx, "placement")
			for err != nil && ctx.Err() == nil {
				require.ErrorIs(t, err, ErrHeld, name)
				time.Sleep(10 * time.Millisecond)
				taken, err = b.Acquire(ctx, "placement")
			}
			require.NoError(t, err, name)
			require.True(t, taken.Valid(), name)
			require.Greater(t, time.Since(begin), 2*time.Second, "%s: the holder counts on 2 s", name)

			objects, _, err := store.List(t.Context(), "leases/")
			require.NoError(t, err, name)
			written := 0
			for _, o := range objects {
				if o.Key == "leases/duties/placement" || strings.HasPrefix(o.Key, "leases/sessions/b/") {
					written++
				}
			}
			require.Equal(t, 2, written, "%s: the earlier build finds the lease and the session under the same keys", name)
		})
	}
}
