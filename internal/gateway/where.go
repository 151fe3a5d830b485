package gateway

import (
	"encoding/json"
	"net/http"
	"sync"

	"github.com/cockroachdb/errors"

	"github.com/rattantray/rattantray/internal/previewer"
)

// whereStatuses are the statuses of queries that can't be answered; others are errors of the query itself.
var whereStatuses = map[error]int{
	previewer.ErrNoConfiguration:  http.StatusServiceUnavailable,
	previewer.ErrNoRoute:          http.StatusNotFound,
	previewer.ErrUnknownWorkspace: http.StatusNotFound,
	previewer.ErrUnknownService:   http.StatusNotFound,
}

// whereHandler answers where a request would go now. It is for operators, as it names workspaces and targets.
func (g *Gateway) whereHandler() http.Handler {
	p := &previewer.Previewer{
		Gateway: g.Settings.Name, DataCentre: g.Settings.DataCentre, Matcher: g.Matcher, Decide: g.relayer.Preview, Now: g.Clock.Now,
	}
	// One at a time, as a preview takes as long as dozens of requests.
	var mu sync.Mutex
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		query, err := previewer.ParseQuery(r.URL.Query())
		var answer previewer.Answer
		if err == nil {
			mu.Lock()
			answer, err = p.Answer(query)
			mu.Unlock()
		}
		w.Header().Set("Content-Type", "application/json")
		if err == nil {
			_ = json.NewEncoder(w).Encode(answer)
			return
		}
		status := http.StatusBadRequest
		for cause, s := range whereStatuses {
			if errors.Is(err, cause) {
				status = s
			}
		}
		w.WriteHeader(status)
		_ = json.NewEncoder(w).Encode(previewer.Failure{Error: err.Error()})
	})
}
