package bencher

import (
	"context"
	"net/http"
	"net/http/httptest"
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/uuid"
	"github.com/stretchr/testify/require"

	"github.com/rattantray/rattantray/internal/timer"
	v1 "github.com/rattantray/rattantray/pkg/api/rattantray/v1"
	"github.com/rattantray/rattantray/pkg/refuser"
)

func TestCheck(t *testing.T) {
	notRun := refuser.New(refuser.QueueFull, "")
	tests := []struct {
		name   string
		result Result
		runs   int
		want   Audit
	}{
		{"answered once", Result{AtMostOnce: true, Complete: true}, 1, Audit{}},
		{"ran twice", Result{AtMostOnce: true, Complete: true}, 2, Audit{DuplicateRuns: []string{"r"}}},
		{"idempotent may run twice", Result{Complete: true}, 2, Audit{}},
		{"answered and never ran", Result{AtMostOnce: true, Complete: true}, 0, Audit{Lost: []string{"r"}}},
		{"incomplete without a refusal", Result{}, 1, Audit{Lost: []string{"r"}}},
		{"correctly not run", Result{AtMostOnce: true, Refusal: notRun}, 0, Audit{}},
		{"falsely not run", Result{AtMostOnce: true, Refusal: notRun}, 1, Audit{FalseNotRun: []string{"r"}}},
		{"may have run", Result{AtMostOnce: true, Refusal: notRun.WithFact(refuser.FactMayHaveRun)}, 1, Audit{}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			tt.result.RequestID = "r"
			got := Check([]Result{tt.result}, map[string]int{"r": tt.runs})
			require.ElementsMatch(t, tt.want.DuplicateRuns, got.DuplicateRuns)
			require.ElementsMatch(t, tt.want.FalseNotRun, got.FalseNotRun)
			require.ElementsMatch(t, tt.want.Lost, got.Lost)
			require.Equal(t, tt.want.DuplicateRuns == nil && tt.want.FalseNotRun == nil && tt.want.Lost == nil, got.Passed())
		})
	}
}

func TestReadLedgers(t *testing.T) {
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path != "/ledger" {
			http.NotFound(w, r)
			return
		}
		_, _ = w.Write([]byte(`{"runs":[{"request-id":"a","count":1},{"request-id":"a","count":1},{"request-id":"b","count":3}]}`))
	}))
	defer server.Close()
	runs, err := ReadLedgers(t.Context(), server.Client(), []string{server.URL + "/ledger"})
	require.NoError(t, err)
	require.Equal(t, map[string]int{"a": 2, "b": 3}, runs)
	_, err = ReadLedgers(t.Context(), server.Client(), []string{server.URL + "/none"})
	require.ErrorContains(t, err, "404")
}

func TestBenchMeasuresFromTheDueTime(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := &Bench{
			Rate: 100, Duration: 10 * time.Second, Timeout: time.Second, Seed: 1, Clock: timer.System{}, NewID: uuid.NewString,
			Kinds: []Kind{{Name: "slow", Workspace: "w", Service: "s", Weight: 1}, {Name: "busy", Workspace: "w", Service: "s", Weight: 1}},
			Send: func(_ context.Context, req *v1.Request, emit func(*v1.SendResponse) error) error {
				if req.Workspace != "w" {
					return refuser.New(refuser.MalformedRequest, "")
				}
				time.Sleep(50 * time.Millisecond)
				if err := emit(&v1.SendResponse{}); err != nil {
					return err
				}
				time.Sleep(10 * time.Millisecond)
				return emit(&v1.SendResponse{Last: true})
			},
		}
		report := b.Run(t.Context())
		require.InDelta(t, 100, report.OfferedRate, 10)
		for _, k := range report.Kinds {
			require.Equal(t, k.Sent, k.Answered)
			require.InDelta(t, 50, k.First.P50, 0.1)
			require.InDelta(t, 10, k.Gap.P95, 0.1)
			require.InDelta(t, 60, k.Total.P99, 0.1)
		}
	})
}

func TestBenchExcludesTheWarmUp(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		begin := time.Now()
		b := &Bench{
			Rate: 100, WarmUp: 5 * time.Second, Duration: 5 * time.Second, Timeout: time.Second, Seed: 1, Clock: timer.System{}, NewID: uuid.NewString,
			Kinds: []Kind{{Name: "k", Workspace: "w", Service: "s", Weight: 1}},
			Send: func(_ context.Context, _ *v1.Request, emit func(*v1.SendResponse) error) error {
				if time.Since(begin) < 5*time.Second {
					time.Sleep(100 * time.Millisecond)
				}
				return emit(&v1.SendResponse{Last: true})
			},
		}
		report := b.Run(t.Context())
		k := report.Kinds[0]
		require.InDelta(t, 100, report.OfferedRate, 10)
		require.Less(t, k.Total.Max, 1.0)
		require.Less(t, k.FromSent.Max, 1.0)
		require.Equal(t, k.Sent, k.SendDelay.Count)
		require.Greater(t, len(report.Results()), int(k.Sent))
	})
}
