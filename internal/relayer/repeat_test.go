package relayer

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"

	"github.com/stretchr/testify/require"

	"github.com/rattantray/rattantray/pkg/refuser"
)

// repeat sends the request with deadlyBody under another ID.
func (f *crashFleet) repeat(id int, parts []string) *refuser.Refusal {
	req := stream(true)
	req.ID, req.PromptParts, req.Body = fmt.Sprint("repeat-", id), parts, []byte(deadlyBody)
	_, refusal, _ := serve(f.relayer, req)
	return refusal
}

// TestRequestThatComesAgainIsQuarantined guards against a request that crashes one target after the other as it comes again with
// another ID, while sound requests that share the parts of its prompt are answered.
func TestRequestThatComesAgainIsQuarantined(t *testing.T) {
	for name, parts := range map[string][]string{"prompt with a shared part": {"shared-0", "own"}, "prompt without parts": nil} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newCrashFleet(5)
				ctx, cancel := context.WithCancel(t.Context())
				defer cancel()
				go func() { _ = f.relayer.Watch(ctx) }()
				failed, quarantined := f.play(40, 8, func(i int) {
					if i > 40 && i%20 == 10 {
						go func() { f.repeat(i, parts) }()
					}
				})
				require.LessOrEqual(t, f.crashes, 4, "crashes for one request")
				require.LessOrEqual(t, f.deadly, 3+3, "sends of the request")
				require.Less(t, failed, 16, "of 800 sound requests, 2%% may fail")
				require.Zero(t, quarantined, "of the sound requests")
				refusal := f.repeat(1000, parts)
				require.Equal(t, refuser.Quarantined, refusal.Code)
				require.Equal(t, refuser.FactNotRun, refusal.Fact)
				require.Positive(t, refusal.RetryAfter)
			})
		})
	}
}
