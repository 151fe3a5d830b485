package bencher

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"

	"github.com/cockroachdb/errors"

	"github.com/rattantray/rattantray/pkg/refuser"
)

// Audit lists contradictions between the results that callers received and the runs of the targets.
type Audit struct {
	// Requests is the number of results compared.
	Requests int `json:"requests"`
	// DuplicateRuns lists at-most-once requests that ran more than once.
	DuplicateRuns []string `json:"doubled"`
	// FalseNotRun lists requests that were refused as not-run but ran.
	FalseNotRun []string `json:"false-not-run"`
	// Lost lists at-most-once requests that were answered but that no target ran, and requests with neither a complete answer nor
	// a refusal.
	Lost []string `json:"lost"`
}

// Passed reports whether the audit found no contradiction.
func (a *Audit) Passed() bool {
	return len(a.DuplicateRuns) == 0 && len(a.FalseNotRun) == 0 && len(a.Lost) == 0
}

// Check compares results with the number of runs of each request id by targets that run requests at most once.
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

// ReadLedgers returns the number of runs of each request id, summed over the ledgers of plain services at the URLs.
func ReadLedgers(ctx context.Context, client *http.Client, urls []string) (map[string]int, error) {
	runs := map[string]int{}
	for _, url := range urls {
		if err := readLedger(ctx, client, url, runs); err != nil {
			return nil, errors.Wrapf(err, "read ledger %s", url)
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
