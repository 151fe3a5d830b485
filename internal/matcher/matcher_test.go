package matcher

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/rattantray/rattantray/internal/cataloger"
)

func testDocument() Document {
	urgent := 0
	return Document{
		Version: 3,
		Routes: []Route{
			{Name: "all", Host: "desk.example", PathPrefix: "/", Shares: []Share{{Service: "app", Weight: 1}}, Priority: 2},
			{Name: "letters", Host: "desk.example", PathPrefix: "/letters/", Shares: []Share{{Service: "llm", Weight: 90}, {Service: "app", Weight: 10}}},
			{Name: "open", Host: "desk.example", PathPrefix: "/open/", Public: true},
			{Name: "other", Host: "other.example", PathPrefix: "/letters/"},
		},
		Services:   []Service{{Name: "llm"}, {Name: "app"}},
		Workspaces: []Workspace{{Name: "counter", Keys: []string{"k1", "k2"}, Priority: &urgent}, {Name: "phone", Keys: []string{"k3"}}},
	}
}

func TestRoute(t *testing.T) {
	m := New(testDocument())
	for _, c := range []struct{ host, path, route string }{
		{"desk.example", "/letters/1", "letters"},
		{"Desk.Example", "/letters/", "letters"},
		{"desk.example:8227", "/letters/", "letters"},
		{"desk.example", "/letters", "all"},
		{"desk.example", "/x", "all"},
		{"other.example", "/letters/1", "other"},
		{"other.example", "/x", ""},
		{"unknown.example", "/letters/1", ""},
	} {
		r, ok := m.Route(c.host, c.path)
		require.Equal(t, c.route != "", ok, "%s%s", c.host, c.path)
		if ok {
			require.Equal(t, c.route, r.Name, "%s%s", c.host, c.path)
		}
	}
}

func TestKeys(t *testing.T) {
	m := New(testDocument())
	letters, _ := m.Route("desk.example", "/letters/")
	open, _ := m.Route("desk.example", "/open/")
	require.True(t, m.RequiresKey(letters))
	require.False(t, m.RequiresKey(open))
	w, ok := m.Workspace("k2")
	require.True(t, ok)
	require.EqualValues(t, "counter", w)
	_, ok = m.Workspace("")
	require.False(t, ok)
	require.False(t, New(Document{Routes: testDocument().Routes}).RequiresKey(letters), "without workspaces no key is needed")
}

func TestPriority(t *testing.T) {
	m := New(testDocument())
	all, _ := m.Route("desk.example", "/x")
	require.Equal(t, 0, m.Priority(all, "counter"), "a workspace's priority overrides the route's")
	require.Equal(t, 2, m.Priority(all, "phone"))
}

func TestRank(t *testing.T) {
	m := New(testDocument())
	for _, c := range []struct {
		service  string
		priority int
		want     int
	}{
		{"app", 0, 0}, {"app", 2, 1}, {"llm", 0, 0}, {"gone", 3, 0},
	} {
		require.Equal(t, c.want, m.Rank(c.service, c.priority), "%s %d", c.service, c.priority)
	}
}

func TestPickFollowsTheWeights(t *testing.T) {
	m := New(testDocument())
	letters, _ := m.Route("desk.example", "/letters/")
	for draw, want := range map[float64]string{0: "llm", 0.89: "llm", 0.91: "app", 0.999: "app"} {
		s, ok := m.PickService(letters, draw)
		require.True(t, ok)
		require.Equal(t, want, s.Name, "draw %v", draw)
	}
	_, ok := m.PickService(&Route{Shares: []Share{{Service: "gone", Weight: 1}}}, 0.5)
	require.False(t, ok)
	_, ok = m.PickService(&Route{}, 0.5)
	require.False(t, ok)
}

// Streams of one service whose routes have different priorities compete by their workspace's priority, then by their route's.
func TestUrgency(t *testing.T) {
	d := testDocument()
	d.Routes = []Route{
		{Name: "book", Host: "h", PathPrefix: "/b/", Kind: KindStreaming, Priority: 0, Shares: []Share{{Service: "llm"}}},
		{Name: "sum", Host: "h", PathPrefix: "/s/", Kind: KindStreaming, Priority: 2, Shares: []Share{{Service: "llm"}}},
		{Name: "look", Host: "h", PathPrefix: "/l/", Kind: KindIdempotent, Priority: 1, Shares: []Share{{Service: "app"}}},
	}
	d.Services = []Service{{Name: "llm", Engine: &Engine{}}, {Name: "app"}}
	later := 1
	d.Workspaces = append(d.Workspaces, Workspace{Name: "night", Keys: []string{"k4"}, Priority: &later})
	m := New(d)
	require.True(t, m.Contended("llm"))
	require.False(t, m.Contended("app"))
	last := -1
	for _, c := range []struct {
		workspace string
		route     int
	}{{"counter", 0}, {"counter", 1}, {"night", 0}, {"night", 1}} {
		r := &d.Routes[c.route]
		urgency := m.Urgency("llm", m.Priority(r, cataloger.Workspace(c.workspace)), r)
		require.Greater(t, urgency, last, "%s of %s", r.Name, c.workspace)
		last = urgency
	}
	require.False(t, New(testDocument()).Contended("llm"))
	d.Services[0].Engine = nil
	require.False(t, New(d).Contended("llm"), "a plain service has no room to compete for")
}

// Loads are shared where streams compete, or where the targets of a service differ much in speed.
func TestSharesLoads(t *testing.T) {
	kinds := func(paces ...float64) *Engine {
		e := &Engine{Kinds: map[string]Accelerator{}}
		for i, pace := range paces {
			e.Kinds[string(rune('a'+i))] = Accelerator{Pace: pace}
		}
		return e
	}
	m := New(Document{Services: []Service{{Name: "even", Engine: kinds(3, 16)}, {Name: "uneven", Engine: kinds(1.4, 3, 16)}, {Name: "none", Engine: kinds()}, {Name: "app"}}})
	require.False(t, m.SharesLoads("even"))
	require.True(t, m.SharesLoads("uneven"))
	require.False(t, m.SharesLoads("none"))
	require.False(t, m.SharesLoads("app"))
	require.False(t, m.SharesLoads("gone"))
}
