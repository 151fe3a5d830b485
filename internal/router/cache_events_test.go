package router

import (
	"bytes"
	"context"
	"testing"
	"time"

	"connectrpc.com/connect"
	"github.com/rcrowley/go-metrics"
	"github.com/stretchr/testify/require"

	"github.com/rattantray/rattantray/internal/engineer"
	v1 "github.com/rattantray/rattantray/pkg/api/rattantray/v1"
	"github.com/rattantray/rattantray/pkg/api/rattantray/v1/rattantrayv1connect"
)

// TestEntriesReceivePrefixesOfTheirDataCentre sends a prompt through one entry. The other entry of its data centre must
// receive the cached prefixes too, the one of another data centre must not.
func TestEntriesReceivePrefixesOfTheirDataCentre(t *testing.T) {
	near := []engineSpec{{first: 0, end: 8, rate: 8000, dc: "dc-a"}}
	inWorld(t, 3, near, func(w *world) {
		const blocks = 4
		_, err := rattantrayv1connect.NewRouterServiceClient(w.httpClient, "http://"+w.routers[0].ip+":7070").Call(
			context.Background(), connect.NewRequest(&v1.CallRequest{Request: &v1.Request{
				Workspace: "counter", Service: "assistant", RequestId: "r", MaxTokens: 2,
				Payload: bytes.Repeat([]byte("p"), blocks*engineer.PrefixBlockBytes),
			}}))
		require.NoError(w.t, err)
		time.Sleep(time.Second)
		counterValue := func(i int, name string) int64 {
			return metrics.GetOrRegisterCounter(name, w.routers[i].router.meter.Registry).Count()
		}
		require.Equal(w.t, int64(blocks), counterValue(0, "subscriber.events"))
		require.Equal(w.t, int64(blocks), counterValue(2, "subscriber.events"))
		require.Zero(w.t, counterValue(1, "subscriber.events"), "the entry is in another data centre")
		w.net.Kill(engineIP(0))
		time.Sleep(30 * time.Second)
		require.Positive(w.t, counterValue(2, "subscriber.breaks"))
	})
}
