package router

import (
	"maps"
	"slices"

	"github.com/rattantray/rattantray/internal/documenter"
	"github.com/rattantray/rattantray/internal/selector"
)

// wantedModel is what the services in force ask of one model.
type wantedModel struct {
	// Model is that of the document that was accepted last; services may be moved to a new version one after the other.
	Model documenter.Model
	// accepted is the version of that document in the store.
	accepted uint64
	// services holds the names of the services, sorted, by the version of the model that they name.
	services map[string][]string
	// keys are those that requests of these services may name.
	keys []selector.Key
}

// versions returns the versions that services name, sorted.
func (w *wantedModel) versions() []string { return slices.Sorted(maps.Keys(w.services)) }

// serviceNames returns the services of all versions, sorted.
func (w *wantedModel) serviceNames() []string {
	var names []string
	for _, services := range w.services {
		names = append(names, services...)
	}
	slices.Sort(names)
	return names
}

// adapters returns what the services ask for beside the weights, sorted.
func (w *wantedModel) adapters() []string {
	var adapters []string
	for _, k := range w.keys {
		if k.Adapter != "" {
			adapters = append(adapters, k.Adapter)
		}
	}
	slices.Sort(adapters)
	return slices.Compact(adapters)
}

// bound returns the max-flow bound of a version, in tokens a second; adapters share the layers, so that the best counts.
func (w *wantedModel) bound(version string, of func(selector.Key) float64) float64 {
	best := 0.0
	for _, k := range w.keys {
		k.Version = version
		best = max(best, of(k))
	}
	return best
}

// modelsInForce returns the models that the services in force name.
func (r *Router) modelsInForce() map[string]*wantedModel {
	models := map[string]*wantedModel{}
	for _, name := range r.config.Services() {
		d, version, ok := r.config.Lookup(name)
		if ok && d.Model != nil {
			want(models, d, version)
		}
	}
	return models
}

// want adds what a document, accepted as a version, asks for.
func want(models map[string]*wantedModel, d *documenter.Document, accepted uint64) {
	w := models[d.Model.Name]
	if w == nil {
		w = &wantedModel{services: map[string][]string{}}
		models[d.Model.Name] = w
	}
	if accepted > w.accepted {
		w.Model, w.accepted = *d.Model, accepted
	}
	w.services[d.Model.Version] = append(w.services[d.Model.Version], d.Name)
	slices.Sort(w.services[d.Model.Version])
	if k := modelOf(d).Key(); !slices.Contains(w.keys, k) {
		w.keys = append(w.keys, k)
	}
}
