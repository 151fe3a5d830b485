package bencher

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"

	"github.com/cockroachdb/errors"

	"github.com/rattantray/rattantray/pkg/refuser"
)

// Audit compares what callers were told with what the targets ran.
type Audit struct {
	// Requests is how many outcomes were compared.
	Requests int `json:"requests"`
	// Doubled lists requests that had to run once and ran more often.
	DuplicateRuns []string `json:"doubled"`
	// FalseNotRun lists requests that were refused as not run and ran.
	FalseNotRun []string `json:"false-not-run"`
	// Lost lists requests with an answer that no target ran, or without a whole answer and without a refusal.
	Lost []string `json:"lost"`
}

// Passed tells whether nothing was found.
func (a *Audit) Passed() bool {
	return len(a.DuplicateRuns) == 0 && len(a.FalseNotRun) == 0 && len(a.Lost) == 0
}

// Check compares results with how often each request id was run by a target whose runs must not repeat.
func Check(results []Result, runs map[string]int) *Audit {
	audit := &Audit{DuplicateRuns: []string{}, FalseNotRun: []string{}, Lost: []string{}}
	for _, res := range results {
		audit.Requests++
		count := runs[res.RequestID]
		if res.AtMostOnce && count > 1 {
			audit.DuplicateRuns = append(audit.DuplicateRuns, res.RequestID)
		}
		if res.Refusal == nil {
			if !res.Complete || res.AtMostOnce && count == 0 {
				audit.Lost = append(audit.Lost, res.RequestID)
			}
			continue
		}
		if res.Refusal.Fact == refuser.FactNotRun && count > 0 {
			audit.FalseNotRun = append(audit.FalseNotRun, res.RequestID)
		}
	}
	return audit
}

// ledgerEntry is the part of a target's ledger that the audit reads.
type ledgerEntry struct {
	RequestID string `json:"request-id"`
	Count     int    `json:"count"`
}

// ReadLedgers sums how often each request id ran over the ledgers of plain services.
func ReadLedgers(ctx context.Context, client *http.Client, urls []string) (map[string]int, error) {
	runs := map[string]int{}
	for _, url := range urls {
		if err := readLedger(ctx, client, url, runs); err != nil {
			return nil, errors.Wrapf(err, "ledger %s", url)
		}
	}
	return runs, nil
}

func readLedger(ctx context.Context, client *http.Client, url string, runs map[string]int) error {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return err
	}
	resp, err := client.Do(req)
	if err != nil {
		return err
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode != http.StatusOK {
		return fmt.Errorf("status %s", resp.Status)
	}
	var ledger struct {
		Runs []ledgerEntry `json:"runs"`
	}
	if err := json.NewDecoder(resp.Body).Decode(&ledger); err != nil {
		return err
	}
	for _, e := range ledger.Runs {
		runs[e.RequestID] += max(e.Count, 1)
	}
	return nil
}
