package servicefaker

import (
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

func send(s *Service, method, path, id, body string) *httptest.ResponseRecorder {
	r := httptest.NewRequest(method, path, strings.NewReader(body))
	r.Header.Set(HeaderRequestID, id)
	w := httptest.NewRecorder()
	s.Handler().ServeHTTP(w, r)
	return w
}

func TestLedgerCountsEveryRun(t *testing.T) {
	s := New(Config{})
	send(s, "POST", "/bookings", "r-1", "x")
	send(s, "POST", "/bookings", "r-1", "x")
	send(s, "GET", "/status/7", "r-2", "")
	var got Ledger
	require.NoError(t, json.Unmarshal(send(s, "GET", "/ledger", "", "").Body.Bytes(), &got))
	require.Len(t, got.Runs, 3)
	require.Equal(t, 2, got.Runs[1].Count)
	require.Equal(t, "/status/7", got.Runs[2].Path)
}

func TestRepeatedRequestIDIsDeduplicated(t *testing.T) {
	s := New(Config{Deduplicate: true})
	first := send(s, "POST", "/cards", "r-1", "x").Body.String()
	require.Equal(t, first, send(s, "POST", "/cards", "r-1", "x").Body.String())
	require.Len(t, s.Ledger().Runs, 1)
}

func TestFaultsOverHTTP(t *testing.T) {
	s := New(Config{})
	for _, bad := range []string{``, `{`, `{"type":"none"}`, `{"type":"delay","times":-1}`, `{"type":"delay","what":1}`} {
		require.Equal(t, http.StatusBadRequest, send(s, "POST", "/faults", "", bad).Code, bad)
	}
	require.Equal(t, http.StatusNoContent, send(s, "POST", "/faults", "", `{"type":"refuse","times":2,"path":"/bookings"}`).Code)
	require.Equal(t, http.StatusOK, send(s, "POST", "/cards", "r-0", "").Code, "another path")
	for range 2 {
		w := send(s, "POST", "/bookings", "r-1", "")
		require.Equal(t, http.StatusServiceUnavailable, w.Code)
		require.Equal(t, "true", w.Header().Get(HeaderNotRun))
	}
	require.Equal(t, http.StatusOK, send(s, "POST", "/bookings", "r-1", "").Code)
	require.NoError(t, s.AddFault(Fault{Type: FaultRefuse}))
	require.Equal(t, http.StatusNoContent, send(s, "DELETE", "/faults", "", "").Code)
	require.Equal(t, http.StatusOK, send(s, "POST", "/bookings", "r-2", "").Code)
}
