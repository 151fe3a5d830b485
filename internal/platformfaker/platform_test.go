package platformfaker

import (
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/rattantray/rattantray/internal/cataloger"
	"github.com/rattantray/rattantray/internal/storer"
)

func TestHistoryIsBounded(t *testing.T) {
	for _, c := range []struct {
		history, writes, bytes int
	}{{100, 1000, 10}, {100_000, 200, 1 << 20}} {
		p := New(Config{History: c.history})
		s, version := p.Store(), storer.Point(0)
		var err error
		for range c.writes {
			version, err = s.Put(t.Context(), "a", make([]byte, c.bytes), version)
			require.NoError(t, err)
			require.LessOrEqual(t, len(p.changes), 2*c.history)
			require.LessOrEqual(t, p.changeBytes, maxChangeBytes)
		}
		require.ErrorIs(t, s.Watch(t.Context(), "", 0, nil), storer.ErrCompacted)
		recent := version - min(storer.Point(c.history), 30)
		err = s.Watch(t.Context(), "", recent, func(e storer.Event) error {
			require.Equal(t, recent+1, e.Revision)
			return context.Canceled
		})
		require.ErrorIs(t, err, context.Canceled)
	}
}

func TestVMListLags(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := New(Config{VMLag: 10 * time.Second})
		s := p.Store()
		names := func() (out []string) {
			vms, err := s.ListVMs(t.Context())
			require.NoError(t, err)
			for _, vm := range vms {
				out = append(out, vm.Name)
			}
			return out
		}
		require.Empty(t, names())
		p.SetVMs([]cataloger.VM{{Name: "a"}})
		require.Equal(t, []string{"a"}, names(), "the first list is visible immediately")
		time.Sleep(time.Second)
		p.SetVMs([]cataloger.VM{{Name: "a"}, {Name: "b"}})
		time.Sleep(9 * time.Second)
		require.Equal(t, []string{"a"}, names())
		time.Sleep(time.Second)
		require.Equal(t, []string{"a", "b"}, names())
	})
}

func TestFaultsOverHTTP(t *testing.T) {
	p := New(Config{})
	server := httptest.NewServer(p.Handler())
	defer server.Close()
	post := func(body string) int {
		resp, err := http.Post(server.URL+"/faults", "application/json", strings.NewReader(body))
		require.NoError(t, err)
		require.NoError(t, resp.Body.Close())
		return resp.StatusCode
	}
	for _, bad := range []string{"", "{", `{"kind":"fire"}`, `{"kind":"watch-gap","operations":["put"]}`, `{"kind":"slow","delay":3}`, `{"knd":"slow"}`} {
		require.Equal(t, http.StatusBadRequest, post(bad), bad)
	}
	require.Equal(t, http.StatusNoContent, post(`{"kind":"outage","operations":["put"],"prefix":"a","count":1}`))
	s := p.Store()
	_, err := s.Put(t.Context(), "b", nil, 0)
	require.NoError(t, err, "another prefix")
	_, err = s.Put(t.Context(), "a", nil, 0)
	require.ErrorIs(t, err, storer.ErrUnavailable)
	_, err = s.Put(t.Context(), "a", nil, 0)
	require.NoError(t, err, "the count is used up")
	require.Equal(t, uint64(3), p.Ledger().Calls[OperationPut])
}

func TestFaultEndsAfterItsDuration(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := New(Config{})
		p.Inject(Fault{Kind: FaultOutage, Duration: Duration(time.Minute)})
		_, err := p.Store().Get(t.Context(), "a")
		require.ErrorIs(t, err, storer.ErrUnavailable)
		time.Sleep(time.Minute)
		_, err = p.Store().Get(t.Context(), "a")
		require.ErrorIs(t, err, storer.ErrNotFound)
	})
}

func BenchmarkWatchers(b *testing.B) {
	for _, n := range []int{1, 10, 26, 100} {
		b.Run(fmt.Sprintf("watches=%d", n), func(b *testing.B) {
			p := New(Config{})
			s := p.Store()
			for range n {
				go func() { _ = s.Watch(b.Context(), "a", 0, func(storer.Event) error { return nil }) }()
			}
			version := storer.Point(0)
			for b.Loop() {
				version, _ = s.Put(b.Context(), "a", nil, version)
			}
		})
	}
}
