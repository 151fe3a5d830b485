package matcher

import (
	"cmp"
	"net"
	"slices"
	"strings"
	"time"

	"github.com/rattantray/rattantray/internal/cataloger"
)

// minPaceSpread is how many times faster the fastest kind of accelerator of a service is than the slowest where they differ much.
const minPaceSpread = 8

// Matcher looks up requests in one document. It is immutable, so that a request sees one version throughout.
type Matcher struct {
	document   Document
	hosts      map[string][]*Route
	services   map[string]*Service
	workspaces map[string]*Workspace
	// priorities holds the distinct priorities of the requests for each service, the highest first.
	priorities map[string][]int
	// contended holds the services whose streams have routes of different priorities, and urgencies what their streams can have.
	contended map[string]bool
	urgencies map[string][]urgency
}

// New returns a matcher for a document, which must not change afterwards.
func New(d Document) *Matcher {
	m := &Matcher{
		document:   d,
		hosts:      map[string][]*Route{},
		services:   map[string]*Service{},
		workspaces: map[string]*Workspace{},
		priorities: map[string][]int{},
		contended:  map[string]bool{},
		urgencies:  map[string][]urgency{},
	}
	for i := range d.Routes {
		r := &d.Routes[i]
		host := strings.ToLower(r.Host)
		m.hosts[host] = append(m.hosts[host], r)
	}
	for _, routes := range m.hosts {
		slices.SortStableFunc(routes, func(a, b *Route) int { return cmp.Compare(len(b.PathPrefix), len(a.PathPrefix)) })
	}
	for i := range d.Services {
		m.services[d.Services[i].Name] = &d.Services[i]
	}
	for i := range d.Workspaces {
		for _, key := range d.Workspaces[i].Keys {
			m.workspaces[key] = &d.Workspaces[i]
		}
	}
	m.collectPriorities()
	m.findContended()
	return m
}

// findContended finds the services with engines whose streams have routes of different priorities, and what urgencies these streams can have.
func (m *Matcher) findContended() {
	routes := map[string][]int{}
	for i := range m.document.Routes {
		r := &m.document.Routes[i]
		if r.Kind != KindStreaming {
			continue
		}
		for _, s := range r.Shares {
			routes[s.Service] = append(routes[s.Service], r.Priority)
		}
	}
	for service, priorities := range routes {
		if known, ok := m.services[service]; !ok || known.Engine == nil {
			continue
		}
		slices.Sort(priorities)
		priorities = slices.Compact(priorities)
		if len(priorities) == 1 {
			continue
		}
		m.contended[service] = true
		for _, route := range priorities {
			m.urgencies[service] = append(m.urgencies[service], urgency{route, route})
			for i := range m.document.Workspaces {
				if p := m.document.Workspaces[i].Priority; p != nil {
					m.urgencies[service] = append(m.urgencies[service], urgency{*p, route})
				}
			}
		}
		slices.SortFunc(m.urgencies[service], compareUrgencies)
		m.urgencies[service] = slices.Compact(m.urgencies[service])
	}
}

// Contended reports whether the streams of a service compete for room by the priorities of their routes.
func (m *Matcher) Contended(service string) bool { return m.contended[service] }

// SharesLoads reports whether the daemons share what they have in progress at the targets of a service: where its streams compete by
// priority, or where its targets differ much in speed.
func (m *Matcher) SharesLoads(service string) bool {
	s, ok := m.services[service]
	return ok && s.Engine != nil && (m.contended[service] || s.Engine.PaceSpread() >= minPaceSpread)
}

// collectPriorities collects the priorities that requests for each service can have.
func (m *Matcher) collectPriorities() {
	var workspacePriorities []int
	for _, w := range m.document.Workspaces {
		if w.Priority != nil {
			workspacePriorities = append(workspacePriorities, *w.Priority)
		}
	}
	for i := range m.document.Routes {
		r := &m.document.Routes[i]
		for _, s := range r.Shares {
			m.priorities[s.Service] = append(m.priorities[s.Service], r.Priority)
		}
	}
	for service, priorities := range m.priorities {
		priorities = append(priorities, workspacePriorities...)
		slices.Sort(priorities)
		m.priorities[service] = slices.Compact(priorities)
	}
}

// Version returns the version of the document.
func (m *Matcher) Version() uint64 { return m.document.Version }

// Objective returns the shortest latency objective of the streams of a service; 0 if there is none.
func (m *Matcher) Objective(service string) time.Duration {
	var out time.Duration
	for i := range m.document.Routes {
		r := &m.document.Routes[i]
		if r.Kind != KindStreaming || r.Objective == 0 || out > 0 && r.Objective >= out {
			continue
		}
		if slices.ContainsFunc(r.Shares, func(s Share) bool { return s.Service == service }) {
			out = r.Objective
		}
	}
	return out
}

// Limits returns the limits on clients.
func (m *Matcher) Limits() Limits { return m.document.Limits }

// Services returns the services of the document.
func (m *Matcher) Services() []Service { return m.document.Services }

// Service returns a service by its name.
func (m *Matcher) Service(name string) (*Service, bool) {
	s, ok := m.services[name]
	return s, ok
}

// Route returns the route of the host with the longest prefix of the path; false if there is none.
func (m *Matcher) Route(host, path string) (*Route, bool) {
	host = strings.ToLower(host)
	routes, ok := m.hosts[host]
	if name, _, err := net.SplitHostPort(host); !ok && err == nil {
		routes = m.hosts[name]
	}
	for _, r := range routes {
		if strings.HasPrefix(path, r.PathPrefix) {
			return r, true
		}
	}
	return nil, false
}

// RequiresKey reports whether requests of the route need a key.
func (m *Matcher) RequiresKey(r *Route) bool { return len(m.document.Workspaces) > 0 && !r.Public }

// Workspace returns the name of the workspace that has a key.
func (m *Matcher) Workspace(key string) (cataloger.Workspace, bool) {
	w, ok := m.workspaces[key]
	if !ok {
		return "", false
	}
	return w.Name, true
}

// HasWorkspace reports whether there is a workspace of a name.
func (m *Matcher) HasWorkspace(name cataloger.Workspace) bool {
	return slices.ContainsFunc(m.document.Workspaces, func(w Workspace) bool { return w.Name == name })
}

// Rank returns the number of priorities among the requests for a service that are higher than the given one.
func (m *Matcher) Rank(service string, priority int) int {
	i, _ := slices.BinarySearch(m.priorities[service], priority)
	return i
}

// urgency orders the streams of a service whose routes have different priorities: by the priority that the request has by its workspace,
// then by that of its route.
type urgency struct{ priority, route int }

// Urgency returns the number of urgencies that the streams of a contended service can have before that of a request with a priority on
// a route.
func (m *Matcher) Urgency(service string, priority int, r *Route) int {
	i, _ := slices.BinarySearchFunc(m.urgencies[service], urgency{priority, r.Priority}, compareUrgencies)
	return i
}

func compareUrgencies(a, b urgency) int {
	return cmp.Or(cmp.Compare(a.priority, b.priority), cmp.Compare(a.route, b.route))
}

// Priority returns the priority of a workspace's requests on a route, 0 the highest.
func (m *Matcher) Priority(r *Route, workspace cataloger.Workspace) int {
	for i := range m.document.Workspaces {
		if w := &m.document.Workspaces[i]; w.Name == workspace && w.Priority != nil {
			return *w.Priority
		}
	}
	return r.Priority
}

// PickService returns the service of one request by the weights of the route; draw is uniform in [0,1).
func (m *Matcher) PickService(r *Route, draw float64) (*Service, bool) {
	total := 0.0
	for _, s := range r.Shares {
		total += max(s.Weight, 0)
	}
	remaining := draw * total
	for i, s := range r.Shares {
		remaining -= max(s.Weight, 0)
		if remaining < 0 && s.Weight > 0 || i == len(r.Shares)-1 {
			return m.Service(s.Service)
		}
	}
	return nil, false
}
