package matcher

import (
	"testing"

	"github.com/stretchr/testify/require"
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
