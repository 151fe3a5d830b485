package previewer

import (
	"net/url"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/stretchr/testify/require"

	"github.com/rattantray/rattantray/internal/assessor"
	"github.com/rattantray/rattantray/internal/cataloger"
	"github.com/rattantray/rattantray/internal/chooser"
	"github.com/rattantray/rattantray/internal/forwarder"
	"github.com/rattantray/rattantray/internal/matcher"
	"github.com/rattantray/rattantray/internal/relayer"
	"github.com/rattantray/rattantray/pkg/refuser"
)

func document() matcher.Document {
	urgent := 0
	return matcher.Document{
		Version: 7,
		Routes: []matcher.Route{
			{Name: "letters", Host: "h", PathPrefix: "/letters/", Kind: matcher.KindStreaming, Priority: 2, Shares: []matcher.Share{{Service: "llm", Weight: 3}, {Service: "app", Weight: 1}}},
			{Name: "status", Host: "h", PathPrefix: "/status/", Kind: matcher.KindIdempotent, Public: true, Shares: []matcher.Share{{Service: "app", Weight: 1}}},
			{Name: "empty", Host: "h", PathPrefix: "/empty/", Public: true},
		},
		Services:   []matcher.Service{{Name: "llm", Engine: &matcher.Engine{Layers: 4}}, {Name: "app"}},
		Workspaces: []matcher.Workspace{{Name: "shop", Keys: []string{"secret"}}, {Name: "bank", Keys: []string{"k"}, Priority: &urgent}},
	}
}

func option(name string, first, end uint32, obstacle chooser.Obstacle) chooser.Option {
	return chooser.Option{View: assessor.View{Target: cataloger.Target{
		Name: name, DataCentre: "a", Holdings: []cataloger.Holding{{Version: "1", FirstLayer: first, EndLayer: end, Ready: true}},
	}, Pace: 1}, Fill: 0.25, MaxFill: 0.9, LayerCost: 2e-6, Obstacle: obstacle}
}

// decide stands in for the relayer.
func decide(req *relayer.Request) relayer.Preview {
	if !req.IsGeneration() {
		return relayer.Preview{Instances: []forwarder.Preference{
			{Target: cataloger.Target{Name: "p1", State: cataloger.StateLive}, Cost: 1, Allowed: true, Preferred: true},
			{Target: cataloger.Target{Name: "p2", State: cataloger.StateLive}, Cost: 20, Open: true},
		}}
	}
	p := relayer.Preview{
		Demand: chooser.Demand{Engine: req.Service.Engine, Tokens: req.PromptTokens + req.MaxTokens},
		Options: []chooser.Option{
			option("e1", 0, 4, ""), option("e2", 2, 4, ""), option("e3", 0, 2, chooser.ObstacleSuspected),
		},
	}
	if req.PromptTokens > 1000 {
		p.Refusal = refuser.New(refuser.NoPipeline, "no room").WithRetryAfter(1500 * time.Millisecond)
		return p
	}
	p.Path = []cataloger.Stage{{Target: "e1", EndLayer: 2}, {Target: "e2", FirstLayer: 2, EndLayer: 4}}
	p.FirstTargets = map[string]float64{"e1": 0.8, "e9": 0.2}
	return p
}

func TestAnswer(t *testing.T) {
	m := matcher.New(document())
	p := Previewer{Gateway: "g", DataCentre: "a", Matcher: func() *matcher.Matcher { return m }, Decide: decide, Now: time.Now}
	ask := func(path string, workspace cataloger.Workspace, change func(q *Query)) (Answer, error) {
		q := Query{Host: "h", Path: path, Workspace: workspace}
		change(&q)
		return p.Answer(q)
	}
	usual := func(*Query) {}

	a, err := ask("/letters/x", "shop", usual)
	require.NoError(t, err)
	require.True(t, a.Sent)
	require.Equal(t, []any{"letters", "llm", "shop", uint64(7), 2, 1}, []any{a.Route, a.Service, a.Workspace, a.ConfigVersion, a.Priority, a.Rank})
	require.Equal(t, []Share{{"llm", 0.75}, {"app", 0.25}}, a.Services)
	require.Equal(t, []Share{{"e1", 0.8}, {"e9", 0.2}}, a.FirstTargets)
	require.Equal(t, Candidate{Target: "e1", DataCentre: "a", EndLayer: 2, Version: "1", Fill: 0.25, MaxFill: 0.9, Pace: 1, LayerCostUS: 2}, a.Stages[0].Candidate)
	require.Len(t, a.Others, 1)
	require.Equal(t, "suspected", a.Others[0].Obstacle)

	a, err = ask("/letters/x", "bank", func(q *Query) { q.PromptTokens = 2000 })
	require.NoError(t, err)
	require.False(t, a.Sent)
	require.Zero(t, a.Rank)
	require.Equal(t, &Refusal{Code: 301, Name: "no-pipeline", Reason: "no room", RetryAfterMS: 1500}, a.Refusal)
	require.Len(t, a.Others, 3)

	a, err = ask("/status/x", "", usual)
	require.NoError(t, err)
	require.Equal(t, "resting-after-failures", a.Instances[1].Obstacle)
	require.Contains(t, a.Why, "1 of 2")

	a, err = ask("/letters/x", "", usual)
	require.NoError(t, err)
	require.Equal(t, "unauthenticated", a.Refusal.Name)
	a, err = ask("/empty/x", "", usual)
	require.NoError(t, err)
	require.Equal(t, "no-target", a.Refusal.Name)

	_, err = ask("/none", "", usual)
	require.True(t, errors.Is(err, ErrNoRoute), err)
	require.EqualError(t, err, "no route for h/none in version 7 of the configuration")
	_, err = ask("/letters/x", "secret", usual)
	require.True(t, errors.Is(err, ErrUnknownWorkspace), err)
	require.NotContains(t, err.Error(), "secret")
	_, err = ask("/letters/x", "shop", func(q *Query) { q.Service = "other" })
	require.True(t, errors.Is(err, ErrUnknownService), err)
	m = nil
	_, err = ask("/letters/x", "shop", usual)
	require.True(t, errors.Is(err, ErrNoConfiguration), err)
}

func TestQuery(t *testing.T) {
	q := Query{Host: "h", Path: "/x", Method: "GET", Workspace: "w", Service: "s", Model: "m", Parts: []string{"a", "b"}, PromptTokens: 1, MaxTokens: 2.5, HintTokens: 3}
	parsed, err := ParseQuery(q.Values())
	require.NoError(t, err)
	require.Equal(t, q, parsed)
	for _, bad := range []string{"host=h", "host=h&path=x", "host=h&path=/&key=secret", "host=h&path=/&max-tokens=secret", "host=h&path=/&max-tokens=-1", "host=h&path=/&max-tokens=NaN"} {
		values, err := url.ParseQuery(bad)
		require.NoError(t, err)
		_, err = ParseQuery(values)
		require.Error(t, err, bad)
		require.NotContains(t, err.Error(), "secret")
	}
}
