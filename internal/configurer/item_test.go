package configurer

import (
	"encoding/json"
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/proto"
	"pgregory.net/rapid"

	peerv1 "github.com/rattantray/rattantray/internal/api/rattantray/peer/v1"
	"github.com/rattantray/rattantray/internal/cataloger"
	"github.com/rattantray/rattantray/internal/storer"
)

func TestSpliceRebuildsText(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		base := []byte(rapid.StringMatching(`[ab]{0,12}`).Draw(t, "base"))
		text := []byte(rapid.StringMatching(`[ab]{0,12}`).Draw(t, "text"))
		got, err := NewSplice(base, text).Apply(base)
		require.NoError(t, err)
		require.Equal(t, string(text), string(got))
	})
}

func TestItemMessageRoundTrip(t *testing.T) {
	text := source("cards", "somebody")
	base := Item{Name: "cards", Version: 3, Time: time.UnixMilli(1), Text: text}
	next := Item{Name: "cards", Version: 5, Author: "me", Time: time.UnixMilli(2), Text: append([]byte("x"), text...)}
	for _, p := range []*peerv1.ConfigItem{next.fullMessage(), next.spliceMessage(base)} {
		got, err := itemFromProto(p, base)
		require.NoError(t, err)
		require.Equal(t, next, got)
	}
	require.Less(t, proto.Size(next.spliceMessage(base)), proto.Size(next.fullMessage()))
	_, err := itemFromProto(next.spliceMessage(base), Item{Version: 4})
	require.ErrorIs(t, err, errNeedFullText)
	other := base
	other.Text = append([]byte("y"), base.Text[1:]...)
	damaged := next.spliceMessage(base)
	damaged.Middle = []byte("z")
	_, err = itemFromProto(damaged, base)
	require.Error(t, err, "a text that does not match its digest is rejected")
	_, err = itemFromProto(next.spliceMessage(base), other)
	require.Error(t, err, "a splice of another base with the same version is rejected")
}

func FuzzItem(f *testing.F) {
	text := source("cards", "somebody")
	base := Item{Name: "cards", Version: 3, Text: text}
	next := Item{Name: "cards", Version: 5, Text: append([]byte("x"), text...)}
	for _, p := range []*peerv1.ConfigItem{next.fullMessage(), next.spliceMessage(base)} {
		b, err := proto.Marshal(p)
		require.NoError(f, err)
		f.Add(b)
	}
	f.Fuzz(func(_ *testing.T, body []byte) {
		p := &peerv1.ConfigItem{}
		if proto.Unmarshal(body, p) == nil {
			if i, err := itemFromProto(p, base); err == nil {
				_, _ = newSet().install(i)
			}
		}
		if i, err := itemFromObject(storer.Object{Key: Prefix + "cards", Value: body, Version: 1}); err == nil {
			_, _ = newSet().install(i)
		}
		if s, err := decodeStored(storer.Object{Key: Prefix + "cards", Value: body, Version: 1}); err == nil {
			_, _ = revisions(s, 1)
		}
	})
}

// A hundred services are applied at the same time, as when a cluster is set up.
func TestBurstOfServices(t *testing.T) {
	inBubble(t, 40, 4, func(t *testing.T, f *fleet) {
		const services = 100
		done := make(chan uint64, services)
		for i := range services {
			go func() { done <- f.daemons[i%40].apply(fmt.Sprintf("service-%d", i), "desk", 0).Version }()
		}
		for range services {
			require.NotZero(t, <-done)
		}
		start := time.Now()
		for i := range services {
			f.waitInForce(fmt.Sprintf("service-%d", i), 1, maxSpreadTime-time.Since(start))
		}
		t.Logf("100 services in force on 40 within %s", time.Since(start))
	})
}

func BenchmarkInstall(b *testing.B) {
	for _, n := range []int{10, 100, 400, 1300} {
		doc := largeDocument(n)
		text, err := json.Marshal(doc)
		require.NoError(b, err)
		b.Run(fmt.Sprintf("workspaces=%d", n), func(b *testing.B) {
			b.ReportAllocs()
			s, version := newSet(), uint64(0)
			for b.Loop() {
				version++
				if _, err := s.install(Item{Name: doc.Name, Version: version, Text: text}); err != nil {
					b.Fatal(err)
				}
			}
		})
	}
}

func BenchmarkExchange(b *testing.B) {
	for _, n := range []int{10, 100, 1000, 10000} {
		b.Run(fmt.Sprintf("services=%d", n), func(b *testing.B) {
			s := newSet()
			for i := range n {
				_, _ = s.install(Item{Name: fmt.Sprint("service-", i), Version: uint64(i + 1), Deleted: true})
			}
			m := newMachine(cataloger.Member{}, nil)
			m.set = s
			versions := s.versions()
			b.ReportAllocs()
			for b.Loop() {
				m.reconcile(peer{}, versions)
			}
			b.ReportMetric(float64(proto.Size(&peerv1.ConfigExchangeResponse{Versions: versions})), "bytes/answer")
		})
	}
}
