package gateway

import (
	"fmt"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/proto"

	peerv1 "github.com/rattantray/rattantray/internal/api/rattantray/peer/v1"
	"github.com/rattantray/rattantray/internal/cataloger"
	"github.com/rattantray/rattantray/internal/orderer"
	"github.com/rattantray/rattantray/internal/timer"
)

// newTestGateway returns a gateway that is not running, with n targets that each hold a request.
func newTestGateway(name string, n int) *Gateway {
	g := New(Settings{Name: name, ClientListen: name + ":1", PeerListen: name + ":2", ConfigPrefix: "config/", TargetsPrefix: "servers/"},
		timer.System{}, zerolog.Nop())
	g.prepare(nil)
	for i := range n {
		t := cataloger.Target{Name: fmt.Sprintf("i-%010x", i), Service: "llm", Address: fmt.Sprint(i), State: cataloger.StateLive, Incarnation: 1}
		g.targets.Put(t)
		g.targets.Reserve([]cataloger.Stage{{Target: t.Name, EndLayer: 10}}, 500)
	}
	return g
}

func TestUpdateCarriesTargetState(t *testing.T) {
	a, b := newTestGateway("a", 3), newTestGateway("b", 3)
	lost, _ := a.targets.Get("i-0000000001")
	a.targets.Suspect(lost.Name, 1, time.Now())
	a.targets.SetPace("i-0000000002", 4, time.Now())
	a.orderer.MergePending(orderer.Pending{
		Target: "i-0000000000", Incarnation: 1, First: 3, End: 9, At: time.Now(), Until: time.Now().Add(time.Second),
	})
	a.targets.RecordDeparture("i-0000000000", 1, time.Now())
	data, err := proto.Marshal(a.buildUpdate(true))
	require.NoError(t, err)
	h := &peerv1.GatewayUpdate{}
	require.NoError(t, proto.Unmarshal(data, h))
	require.True(t, b.handleUpdate("a", h), "a target becomes lost")
	require.False(t, b.handleUpdate("a", h), "the update is already applied")

	v, _ := b.targets.Get(lost.Name)
	require.True(t, v.Unreachable)
	v, _ = b.targets.Get("i-0000000002")
	require.InDelta(t, 4, v.Pace, 0)
	require.InDelta(t, 10_000, v.TokenLayers, 1, "the load of both daemons")
	require.Len(t, b.orderer.Pending(), 1)
	v, _ = b.targets.Get("i-0000000000")
	require.False(t, v.Usable(), "it announced that it leaves")
	b.removePeer("a")
	v, _ = b.targets.Get("i-0000000002")
	require.InDelta(t, 5_000, v.TokenLayers, 1)
}

func TestCandidatesReachTheStore(t *testing.T) {
	names := func(ms ...cataloger.Member) []string {
		var out []string
		for _, m := range candidates(ms) {
			out = append(out, m.Name)
		}
		return out
	}
	starting, cut := member("a", cataloger.StateLive, traitReachesStore), member("d", cataloger.StateLive, traitReady)
	require.Equal(t, []string{"c"}, names(starting, leaving("b"), staying("c"), cut))
	require.Equal(t, []string{"d"}, names(starting, cut), "all are candidates if none reaches the store")
	require.Empty(t, names())
}

// TestUpdateFitsADatagram: at the design size, each target holds a request.
func TestUpdateFitsADatagram(t *testing.T) {
	data, err := proto.Marshal(newTestGateway("a", 3300).buildUpdate(true))
	require.NoError(t, err)
	require.Less(t, len(data), 32<<10)
}

func BenchmarkUpdate(b *testing.B) {
	for _, n := range []int{40, 100, 400, 3300} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			g := newTestGateway("a", n)
			size := 0
			for b.Loop() {
				data, err := proto.Marshal(g.buildUpdate(true))
				if err != nil {
					b.Fatal(err)
				}
				size = len(data)
			}
			b.ReportMetric(float64(size), "bytes")
		})
	}
}

func BenchmarkTargetsOfAService(b *testing.B) {
	for _, n := range []int{40, 100, 400, 3300} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			g := newTestGateway("a", n)
			for b.Loop() {
				_ = g.targets.Service("llm")
			}
		})
	}
}
