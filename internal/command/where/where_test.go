package where

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/rattantray/rattantray/internal/command/exiter"
	"github.com/rattantray/rattantray/internal/command/maker"
	"github.com/rattantray/rattantray/internal/command/streamer"
	"github.com/rattantray/rattantray/internal/previewer"
)

func execute(runF func(context.Context, *Options) error, args ...string) (string, error) {
	streams, _, out, _ := streamer.Test()
	cmd := NewCmdWhere(maker.New(streams, "test"), runF)
	cmd.SetArgs(args)
	cmd.SilenceErrors, cmd.SilenceUsage = true, true
	err := cmd.ExecuteContext(context.Background())
	return out.String(), err
}

func TestFlags(t *testing.T) {
	var got *Options
	keep := func(_ context.Context, o *Options) error {
		got = o
		return nil
	}
	_, err := execute(keep, "--gateway", "g:1", "h", "/x", "-w", "shop", "--prompt-tokens", "900", "--parts", "a,b")
	require.NoError(t, err)
	require.Equal(t, "g:1", got.Gateway)
	require.Equal(t, previewer.Query{Host: "h", Path: "/x", Workspace: "shop", PromptTokens: 900, Parts: []string{"a", "b"}}, got.Query)

	for _, args := range [][]string{{"--gateway", "g:1", "h"}, {"h", "/x"}, {"--gateway", "g:1", "h", "x"}, {"--gateway", "g:1", "h", "/x", "--max-tokens", "-1"}} {
		_, err = execute(keep, args...)
		var flag *exiter.FlagError
		require.ErrorAs(t, err, &flag, args)
	}
}

// serve answers all queries and returns its address.
func serve(t *testing.T, status int, answer any) string {
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		require.Equal(t, "/where", r.URL.Path)
		w.WriteHeader(status)
		if text, ok := answer.(string); ok {
			_, _ = io.WriteString(w, text)
			return
		}
		_ = json.NewEncoder(w).Encode(answer)
	}))
	t.Cleanup(server.Close)
	return strings.TrimPrefix(server.URL, "http://")
}

func TestAnswers(t *testing.T) {
	sent := previewer.Answer{
		Gateway: "g", DataCentre: "a", ConfigVersion: 7, Route: "letters", Workspace: "shop", Service: "llm", Priority: 2, Rank: 1,
		Services: []previewer.Share{{Name: "llm", Share: 0.75}}, Contended: true, Ahead: 0.4, Sent: true, Why: "the path with the lowest sum of costs",
		Stages:       []previewer.Stage{{Candidate: previewer.Candidate{Target: "e1", DataCentre: "a", EndLayer: 4, Fill: 0.25, MaxFill: 0.9, Pace: 1, LayerCostUS: 2}}},
		FirstTargets: []previewer.Share{{Name: "e1", Share: 0.8}, {Name: "e2", Share: 0.2}},
		Others:       []previewer.Candidate{{Target: "e2"}, {Target: "e3", Obstacle: "paused", WaitMS: 1500}},
	}
	address := serve(t, http.StatusOK, sent)
	out, err := execute(nil, "--gateway", address, "h", "/x")
	require.NoError(t, err)
	require.Equal(t, `g in a, version 7 of the configuration
route letters, service llm (75% of the route), workspace shop, priority 2, rank 1, 40% of the demand goes before
would be sent to e1: the path with the lowest sum of costs
  e1  a  layers 0-4  fill 0.25 of 0.90  pace 1  2 µs a layer and token
begins at e1 80%, e2 20%
costs more: e2
paused: e3 (for 1.5s)
`, out)
	out, err = execute(nil, "--gateway", address, "h", "/x", "--json", "sent,path,config-version", "--jq", ".[0] | .sent, .path[0].target, .\"config-version\"")
	require.NoError(t, err)
	require.Equal(t, "true\ne1\n7\n", out)

	out, err = execute(nil, "--gateway", serve(t, http.StatusOK, previewer.Answer{
		Gateway: "g", Route: "status", Service: "app", Refusal: &previewer.Refusal{Code: 302, Name: "no-target", Reason: "no instance of app takes requests", RetryAfterMS: 500},
		Instances: []previewer.Instance{{Target: "p1", Cost: 2, Requests: 3, Obstacle: "resting-after-failures"}},
	}), "h", "/x")
	require.NoError(t, err)
	require.Contains(t, out, "would be refused with no-target (302): no instance of app takes requests; Retry-After from 500ms on\n")
	require.Contains(t, out, "3 in progress  resting after failures")
}

func TestErrorsSayWhatToDo(t *testing.T) {
	closed := httptest.NewServer(http.NotFoundHandler())
	closed.Close()
	for want, address := range map[string]string{
		"check that it runs with --metrics-port":                            strings.TrimPrefix(closed.URL, "http://"),
		"no configuration yet: ask again":                                   serve(t, http.StatusServiceUnavailable, previewer.Failure{Error: "no configuration yet"}),
		"no route for h/x in version 7: check the argument":                 serve(t, http.StatusNotFound, previewer.Failure{Error: "no route for h/x in version 7"}),
		"answers 404: it is no gateway's --metrics-port, or of an older re": serve(t, http.StatusNotFound, "404 page not found"),
	} {
		_, err := execute(nil, "--gateway", address, "h", "/x")
		require.ErrorContains(t, err, want)
	}
}
