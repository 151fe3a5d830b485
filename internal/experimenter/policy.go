package experimenter

import (
	"slices"
	"strings"

	"github.com/rattantray/rattantray/internal/assessor"
	"github.com/rattantray/rattantray/internal/cataloger"
	"github.com/rattantray/rattantray/internal/chooser"
)

// policy selects paths for requests.
type policy struct {
	path func(*simulation, chooser.Demand) ([]cataloger.Stage, bool)
	// repairs is true if lost stages are replaced in streams and their layers loaded by spare targets.
	repairs bool
}

var policies = map[string]policy{
	// The product's own decisions.
	"product": {path: productPath, repairs: true},
	// The fixed pipelines in turn, without repair.
	"static-pipelines": {path: staticPath},
	// For each layer the holder with the fewest requests, without repair of streams.
	"least-outstanding": {path: leastOutstandingPath},
}

func policyNames() string {
	var names []string
	for name := range policies {
		names = append(names, name)
	}
	slices.Sort(names)
	return strings.Join(names, ", ")
}

func productPath(p *simulation, d chooser.Demand) ([]cataloger.Stage, bool) {
	return p.chooser.Path(d, nil)
}

// staticPath returns the fixed pipelines in turn and skips those with a stage that is no longer usable.
func staticPath(p *simulation, _ chooser.Demand) ([]cataloger.Stage, bool) {
	for range p.pipelines {
		p.nextPipeline++
		path := p.pipelines[p.nextPipeline%len(p.pipelines)]
		healthy := !slices.ContainsFunc(path, func(s cataloger.Stage) bool {
			v, ok := p.targets.Get(s.Target)
			return !ok || !v.Usable()
		})
		if healthy {
			return path, true
		}
	}
	return nil, false
}

// leastOutstandingPath builds a path from the first layer on and adds the holder with the fewest requests at each step.
func leastOutstandingPath(p *simulation, _ chooser.Demand) ([]cataloger.Stage, bool) {
	views := p.targets.Service(service)
	var path []cataloger.Stage
	used := map[string]bool{}
	for layer := uint32(0); layer < p.engine.Layers; {
		best, ok := leastLoadedAt(views, layer, used)
		if !ok {
			return nil, false
		}
		_, end, _ := best.ReadyLayers()
		path = append(path, cataloger.Stage{Target: best.Name, Address: best.Address, FirstLayer: layer, EndLayer: end})
		used[best.Name] = true
		layer = end
	}
	return path, true
}

func leastLoadedAt(views []assessor.View, layer uint32, used map[string]bool) (assessor.View, bool) {
	var best assessor.View
	found := false
	for _, v := range views {
		first, end, _ := v.ReadyLayers()
		if !v.Usable() || used[v.Name] || layer < first || layer >= end {
			continue
		}
		if !found || v.Requests < best.Requests {
			best, found = v, true
		}
	}
	return best, found
}
