package gateway

import (
	"net/http"
	"net/http/httptest"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/rattantray/rattantray/internal/matcher"
)

// The metrics listener answers where a request would go; clients and peers have no such path.
func TestWhereIsAnsweredOnTheMetricsListenerOnly(t *testing.T) {
	g := newTestGateway("m", 2)
	g.Adapter.Client = http.NotFoundHandler()
	get := func(h http.Handler, query string) *httptest.ResponseRecorder {
		w := httptest.NewRecorder()
		h.ServeHTTP(w, httptest.NewRequest(http.MethodGet, "/where?"+query, nil))
		return w
	}
	handler := g.metricsHandler()
	w := get(handler, "host=h&path=/x")
	require.Equal(t, http.StatusServiceUnavailable, w.Code)
	require.JSONEq(t, `{"error": "the gateway has no configuration yet"}`, w.Body.String())

	g.config.Store(matcher.New(matcher.Document{
		Version:  3,
		Routes:   []matcher.Route{{Name: "r", Host: "h", PathPrefix: "/", Kind: matcher.KindIdempotent, Shares: []matcher.Share{{Service: "llm", Weight: 1}}}},
		Services: []matcher.Service{{Name: "llm"}},
	}))
	w = get(handler, "host=h&path=/x")
	require.Equal(t, http.StatusOK, w.Code)
	require.Equal(t, "application/json", w.Header().Get("Content-Type"))
	for _, part := range []string{`"gateway":"m"`, `"config-version":3`, `"route":"r"`, `"sent":true`, `"target":"i-0000000001"`} {
		require.Contains(t, w.Body.String(), part)
	}
	require.Equal(t, http.StatusNotFound, get(handler, "host=other&path=/x").Code)
	require.Equal(t, http.StatusBadRequest, get(handler, "host=h&path=/x&key=k").Code)
	require.Equal(t, http.StatusNotFound, get(g.peerHandler(), "host=h&path=/x").Code)
	require.Zero(t, g.activeRequests.Load())
}
