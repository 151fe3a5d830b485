package router

import (
	"bytes"
	"context"
	"fmt"
	"testing"
	"time"

	"connectrpc.com/connect"
	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/types/known/durationpb"

	v1 "github.com/rattantray/rattantray/pkg/api/rattantray/v1"
	"github.com/rattantray/rattantray/pkg/api/rattantray/v1/rattantrayv1connect"
	"github.com/rattantray/rattantray/pkg/refuser"
)

// TestTooShortDeadlinesAreRefused: the entry refuses an answer that would take longer than its deadline, but not a long
// prompt with a short answer.
func TestTooShortDeadlinesAreRefused(t *testing.T) {
	inWorld(t, 1, fourChains(), func(w *world) {
		client := rattantrayv1connect.NewRouterServiceClient(w.httpClient, "http://"+w.routers[0].ip+":7070")
		notRunBefore := false
		call := func(id string, prompt []byte, tokens uint32, timeout time.Duration) error {
			_, err := client.Call(context.Background(), connect.NewRequest(&v1.CallRequest{Request: &v1.Request{
				Workspace: "counter", Service: "assistant", RequestId: id, Payload: prompt,
				MaxTokens: tokens, Timeout: durationpb.New(timeout), NotRunBefore: notRunBefore,
			}}))
			return err
		}
		for i := range 8 {
			require.NoError(w.t, call(fmt.Sprintf("short-%d", i), []byte("prompt"), 16, 20*time.Second))
		}
		// A prompt of 4,000 tokens is prefilled 40 times as fast as tokens are generated.
		require.NoError(w.t, call("prompt", bytes.Repeat([]byte("word"), 4000), 16, 10*time.Second))
		// The entry can refuse as not-run only an id that the caller declares not to have run before.
		notRunBefore = true
		err := call(w.client.NewRequestID(), []byte("prompt"), 200, time.Second)
		require.Error(w.t, err)
		refusal := refuser.From(err)
		require.Equal(w.t, refuser.DeadlineTooShort, refusal.Code)
		require.Equal(w.t, refuser.FactNotRun, refusal.Fact)
	})
}
