package experimenter

import (
	"slices"
	"strings"

	"github.com/rattantray/rattantray/internal/assessor"
	"github.com/rattantray/rattantray/internal/cataloger"
	"github.com/rattantray/rattantray/internal/chooser"
)

// policy chooses paths and repairs them.
type policy struct {
	path func(*play, chooser.Demand) ([]cataloger.Stage, bool)
	// repairs tells whether stages that are lost are replaced in streams, and spares loaded in their place.
	repairs bool
}

var policies = map[string]policy{
	// The product's own decisions.
	"product": {path: productPath, repairs: true},
	// One pipeline after the other, as they were laid out, without repair.
	"static-pipelines": {path: staticPath},
	// At each layer the holder with the fewest requests, without repair of streams.
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

func productPath(p *play, d chooser.Demand) ([]cataloger.Stage, bool) {
	return p.chooser.Path(d, nil)
}

// staticPath takes the fixed pipelines in turn; one with a stage that is known to be lost is passed over.
func staticPath(p *play, _ chooser.Demand) ([]cataloger.Stage, bool) {
	for range p.pipelines {
		p.turn++
		path := p.pipelines[p.turn%len(p.pipelines)]
		sound := !slices.ContainsFunc(path, func(s cataloger.Stage) bool {
			v, ok := p.targets.Get(s.Target)
			return !ok || !v.Usable()
		})
		if sound {
			return path, true
		}
	}
	return nil, false
}

// leastOutstandingPath goes through the layers and takes the holder with the fewest requests each time.
func leastOutstandingPath(p *play, _ chooser.Demand) ([]cataloger.Stage, bool) {
	views := p.targets.Service(service)
	var path []cataloger.Stage
	used := map[string]bool{}
	for layer := uint32(0); layer < p.engine.Layers; {
		best, ok := leastAt(views, layer, used)
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

func leastAt(views []assessor.View, layer uint32, used map[string]bool) (assessor.View, bool) {
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
