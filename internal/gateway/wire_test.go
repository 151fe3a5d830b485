package gateway

import (
	"encoding/hex"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/encoding/prototext"
	"google.golang.org/protobuf/encoding/protowire"
	"google.golang.org/protobuf/proto"

	peerv1 "github.com/rattantray/rattantray/internal/api/rattantray/peer/v1"
	"github.com/rattantray/rattantray/internal/cataloger"
	"github.com/rattantray/rattantray/internal/quarantiner"
	"github.com/rattantray/rattantray/internal/throttler"
	"github.com/rattantray/rattantray/internal/tracker"
)

// The messages in this file were written by commit 51f1867. Gateways of it run beside later ones while machines are replaced.

// earlierUpdate is an update with all that it can carry.
const earlierUpdate = "08fbd8bed6c61b22130a0c692d30303030303030303031100118ee052a130a0c692d30303030303030303030100118ee0532160a0c692d3030303030" +
	"3030303032150000804018ee053a0a0dae28ea3b1500409c453a0a0d4e518ed21500409c453a0a0d203745fd1500401c46421a0a0c692d3030303030" +
	"303030303010011803200928ee0530ba404a27093b76d94de5e6e01b120d0d09b45b7d15e788d79220ee05120d0d2d2941b6154c8d8a0320fa014a1c" +
	"090700000000000000120f0d2d2941b6154c8d8a03180120fa01180052080d2d2941b620fa0152080d09b45b7d20ee055a1c0a0c692d303030303030" +
	"30303032100119000000000000044020ee05"

// unknownField is a field of a later build: number 1000, four bytes.
var unknownField = protowire.AppendBytes(protowire.AppendTag(nil, 1000, protowire.BytesType), []byte("more"))

func fromHex(t *testing.T, s string) []byte {
	data, err := hex.DecodeString(s)
	require.NoError(t, err)
	return data
}

// TestMessagesOfAnEarlierBuild guards against changed numbers and types of fields, which gateways of another build would misread, and
// against fields of a later build that make a message unreadable.
func TestMessagesOfAnEarlierBuild(t *testing.T) {
	cases := []struct {
		name    string
		message proto.Message
		data    string
		text    string
	}{
		{
			"heartbeat", &peerv1.Gossip{},
			"08011081d8bed6c61b19fcfb7c1b6c829ee05100accf6adc0000006006",
			`kind:GOSSIP_KIND_HEARTBEAT incarnation:946684800001 digest:16185517511645395964 epoch:946684800000 up_to:6`,
		},
		{
			"first contact", &peerv1.Gossip{},
			"08021080d8bed6c61b19ef67b534395e0af7423a0a0966726f6e742d3030311080d8bed6c61b1900accf6adc0000002a08636c69656e742d31320d31" +
				"302e302e312e313a373334303a0464632d31",
			`kind:GOSSIP_KIND_PING incarnation:946684800000 digest:17801144076925757423 members:{name:"front-001" ` +
				`incarnation:946684800000 epoch:946684800000 address:"client-1" peer_address:"10.0.1.1:7340" ` +
				`data_centre:"dc-1"}`,
		},
		{
			"answer to the first contact", &peerv1.Gossip{},
			"08031081d8bed6c61b1928761c4863bfcabc423c0a0966726f6e742d3030301081d8bed6c61b1900accf6adc0000002a08636c69656e742d30320d31" +
				"302e302e302e313a373334303a0464632d305002",
			`kind:GOSSIP_KIND_ACK incarnation:946684800001 digest:13603896057558496808 members:{name:"front-000" ` +
				`incarnation:946684800001 epoch:946684800000 address:"client-0" peer_address:"10.0.0.1:7340" data_centre:"dc-0" ` +
				`traits:2}`,
		},
		{
			"request for changed members", &peerv1.Gossip{},
			"08071081d8bed6c61b1979ef5cf04567706f",
			`kind:GOSSIP_KIND_SYNC incarnation:946684800001 digest:8030031685684621177`,
		},
		{
			"changed members", &peerv1.Gossip{},
			"08081081d8bed6c61b423c0a0966726f6e742d3030301081d8bed6c61b1900accf6adc0000002a08636c69656e742d30320d31302e302e302e313a37" +
				"3334303a0464632d305002423a0a0966726f6e742d3030311080d8bed6c61b1900accf6adc0000002a08636c69656e742d31320d31302e302e312e31" +
				"3a373334303a0464632d31423c0a0966726f6e742d3030321081d8bed6c61b1900accf6adc0000002a08636c69656e742d32320d31302e302e322e31" +
				"3a373334303a0464632d3250025100accf6adc0000006005",
			`kind:GOSSIP_KIND_DELTA incarnation:946684800001 members:{name:"front-000" incarnation:946684800001 ` +
				`epoch:946684800000 address:"client-0" peer_address:"10.0.0.1:7340" data_centre:"dc-0" traits:2} ` +
				`members:{name:"front-001" incarnation:946684800000 epoch:946684800000 address:"client-1" ` +
				`peer_address:"10.0.1.1:7340" data_centre:"dc-1"} members:{name:"front-002" incarnation:946684800001 ` +
				`epoch:946684800000 address:"client-2" peer_address:"10.0.2.1:7340" data_centre:"dc-2" traits:2} ` +
				`epoch:946684800000 up_to:5`,
		},
		{
			"changed traits", &peerv1.Gossip{},
			"08061083d8bed6c61b3801423c0a0966726f6e742d3030311083d8bed6c61b1900accf6adc0000002a08636c69656e742d31320d31302e302e312e31" +
				"3a373334303a0464632d315007",
			`kind:GOSSIP_KIND_NEWS incarnation:946684800003 relay:true members:{name:"front-001" incarnation:946684800003 ` +
				`epoch:946684800000 address:"client-1" peer_address:"10.0.1.1:7340" data_centre:"dc-1" traits:7}`,
		},
		{
			"update", &peerv1.GatewayUpdate{}, earlierUpdate,
			`epoch:946684800123 doubts:{target:"i-0000000001" incarnation:1 age_ms:750} departures:{target:"i-0000000000" ` +
				`incarnation:1 age_ms:750} paces:{target:"i-0000000002" pace:4 age_ms:750} loads:{key:1005201582 value:5000} ` +
				`loads:{key:3532542286 value:5000} loads:{key:4249171744 value:10000} orders:{target:"i-0000000000" ` +
				`incarnation:1 first_layer:3 end_layer:9 age_ms:750 left_ms:8250} evidence:{key:2008859306335237691 ` +
				`crashes:{target:2103161865 request:2463598823 age_ms:750} crashes:{target:3057723693 request:59411788 ` +
				`age_ms:250}} evidence:{key:7 crashes:{target:3057723693 request:59411788 depth:1 age_ms:250} ` +
				`answered_age_ms:0} crashes:{target:3057723693 age_ms:250} crashes:{target:2103161865 age_ms:750} ` +
				`limits:{target:"i-0000000002" incarnation:1 rate:2.5 age_ms:750}`,
		},
		{
			"revisions", &peerv1.GatewayRevisions{},
			"0880d8bed6c61b1001",
			`epoch:946684800000 config_version:1`,
		},
		{
			"request for permits", &peerv1.PermitRequest{},
			"0807121c0a0c692d30303030303030303032100119000000000000044020ee051803250000803e",
			`number:7 limit:{target:"i-0000000002" incarnation:1 rate:2.5 age_ms:750} wanted:3 reserve:0.25`,
		},
		{
			"permits", &peerv1.PermitReply{},
			"0807121c0a0c692d30303030303030303032100119000000000000044020ee05180320282d0000003f",
			`number:7 limit:{target:"i-0000000002" incarnation:1 rate:2.5 age_ms:750} permits:3 wait_ms:40 fill:0.5`,
		},
		{
			"objects", &peerv1.GatewayObjects{},
			"081612130a0b636f6e6669672f6d61696e1202320a181618022080d8bed6c61b",
			`revision:22 items:{key:"config/main" value:"2\n" version:22} cursor:2 epoch:946684800000`,
		},
		{
			"lease in the store", &peerv1.Lease{},
			"0a2e6c65617365732f73657373696f6e732f66726f6e742d3030312f302d656539623465306539386339336336332e31120966726f6e742d303031",
			`session:"leases/sessions/front-001/0-ee9b4e0e98c93c63.1" holder:"front-001"`,
		},
		{
			"session in the store", &peerv1.LeaseSession{},
			"0a0966726f6e742d303031101620d00f",
			`holder:"front-001" renewal:22 duration_ms:2000`,
		},
	}
	for _, c := range cases {
		data, want, got := fromHex(t, c.data), c.message.ProtoReflect().New().Interface(), c.message
		require.NoError(t, prototext.Unmarshal([]byte(c.text), want), c.name)
		require.NoError(t, proto.Unmarshal(data, got), c.name)
		require.True(t, proto.Equal(want, got), "%s: %s", c.name, prototext.Format(got))
		require.Empty(t, got.ProtoReflect().GetUnknown(), c.name)
		again, err := proto.MarshalOptions{Deterministic: true}.Marshal(got)
		require.NoError(t, err, c.name)
		require.Equal(t, data, again, "%s is written as before", c.name)

		later := c.message.ProtoReflect().New().Interface()
		require.NoError(t, proto.Unmarshal(append(data, unknownField...), later), c.name)
		require.Equal(t, unknownField, []byte(later.ProtoReflect().GetUnknown()), "%s: unknown fields are kept", c.name)
		later.ProtoReflect().SetUnknown(nil)
		require.True(t, proto.Equal(want, later), c.name)
	}
}

// TestUpdateOfAnEarlierBuildApplies guards against updates of an earlier build that are read but not applied, or not passed on whole.
func TestUpdateOfAnEarlierBuildApplies(t *testing.T) {
	for name, more := range map[string][]byte{"as written": nil, "with a field of a later build": unknownField} {
		synctest.Test(t, func(t *testing.T) {
			b := newTestGateway("b", 3)
			now := time.Now()
			_, err := b.gossiper.Handle(t.Context(), "a", append(fromHex(t, earlierUpdate), more...))
			require.NoError(t, err, name)
			leaving, _ := b.targets.Get("i-0000000000")
			require.False(t, leaving.Usable(), name)
			lost, _ := b.targets.Get("i-0000000001")
			require.True(t, lost.Unreachable, name)
			slow, _ := b.targets.Get("i-0000000002")
			require.InDelta(t, 4, slow.Pace, 0, name)
			require.InDelta(t, 10_000, slow.TokenLayers, 1, "%s: the load of both gateways", name)
			pending := b.orderer.Pending()
			require.Len(t, pending, 1, name)
			require.Equal(t, []uint32{3, 9}, []uint32{pending[0].First, pending[0].End}, name)
			require.Equal(t, now.Add(8250*time.Millisecond), pending[0].Until, name)
			require.Equal(t, []throttler.News{{
				Target: throttler.Target{Name: "i-0000000002", Incarnation: 1}, Limit: throttler.Limit{Rate: 2.5, Set: true}, HeardAt: now.Add(-750 * time.Millisecond),
			}}, b.relayer.Throttler.News(maxUpdateLimits), name)

			sent, passedOn := &peerv1.GatewayUpdate{}, b.buildUpdate(true)
			require.NoError(t, proto.Unmarshal(fromHex(t, earlierUpdate), sent))
			// The other key was answered since: it is of no interest to a gateway that did not suspect it.
			require.Equal(t, encodeAll(t, sent.GetEvidence()[:1]), encodeAll(t, passedOn.GetEvidence()), name)
			require.ElementsMatch(t, encodeAll(t, sent.GetCrashes()), encodeAll(t, passedOn.GetCrashes()), name)
			require.Equal(t, encodeAll(t, sent.GetDepartures()), encodeAll(t, passedOn.GetDepartures()), name)
			require.Equal(t, encodeAll(t, sent.GetOrders()), encodeAll(t, passedOn.GetOrders()), name)
			require.Equal(t, encodeAll(t, sent.GetLimits()), encodeAll(t, passedOn.GetLimits()), name)
		})
	}
}

// encodeAll returns encoded messages.
func encodeAll[M proto.Message](t *testing.T, messages []M) [][]byte {
	var out [][]byte
	for _, m := range messages {
		data, err := proto.MarshalOptions{Deterministic: true}.Marshal(m)
		require.NoError(t, err)
		out = append(out, data)
	}
	return out
}

// TestHashesOfAnEarlierBuild guards against gateways of two builds that mean different content, targets or owners.
func TestHashesOfAnEarlierBuild(t *testing.T) {
	require.Equal(t, quarantiner.Key(2008859306335237691), quarantiner.PartKey("m", "5c1e07a2"))
	require.Equal(t, quarantiner.Key(5534623204223203057), quarantiner.RequestKey("app", "GET", "/x?y", []byte("b")))
	require.Equal(t, uint32(2103161865), quarantiner.TargetID("i-0000000001", 1))
	require.Equal(t, uint32(2463598823), quarantiner.RequestID("r1"))
	var members []cataloger.Member
	for _, name := range []string{"front-000", "front-001", "front-002", "front-003", "front-004"} {
		members = append(members, cataloger.Member{Name: name, State: cataloger.StateLive})
	}
	for key, want := range map[string][]string{
		"watch":          {"front-003", "front-002", "front-001", "front-004", "front-000"},
		"registrar":      {"front-000", "front-003", "front-001", "front-004", "front-002"},
		dutyName:         {"front-001", "front-004", "front-000", "front-003", "front-002"},
		"i-0000000002/1": {"front-002", "front-004", "front-001", "front-000", "front-003"},
		"1a2b":           {"front-000", "front-001", "front-003", "front-002", "front-004"},
	} {
		var got []string
		for _, m := range tracker.RankMembers(members, key, len(members)) {
			got = append(got, m.Name)
		}
		require.Equal(t, want, got, key)
	}
}
