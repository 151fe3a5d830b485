package router

import (
	"maps"
	"slices"

	"github.com/rattantray/rattantray/internal/documenter"
	"github.com/rattantray/rattantray/internal/selector"
)

// wantedModel holds what the services in force require of one model.
type wantedModel struct {
	// Model is from the document that was accepted last; services may move to a new version one after the other.
	Model documenter.Model
	// accepted is the version of that document in the store.
	accepted uint64
	// services holds the sorted names of the services by the version of the model that they name.
	services map[string][]string
	// keys are the selector keys of these services.
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

// adapters returns the adapters that the services name, sorted.
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

// bound returns the max-flow bound of a version, in tokens a second. Adapters share the layers, so it is the maximum over
// the adapters and not their sum.
func (w *wantedModel) bound(version string, boundOf func(selector.Key) float64) float64 {
	best := 0.0
	for _, k := range w.keys {
		k.Version = version
		best = max(best, boundOf(k))
	}
	return best
}

// modelsInForce returns the models that the services in force name, by name.
func (r *Router) modelsInForce() map[string]*wantedModel {
	models := map[string]*wantedModel{}
	for _, name := range r.config.Services() {
		d, version, ok := r.config.Lookup(name)
		if ok && d.Model != nil {
			addWanted(models, d, version)
		}
	}
	return models
}

// addWanted adds the model that a document names; accepted is the version of the document in the store.
func addWanted(models map[string]*wantedModel, d *documenter.Document, accepted uint64) {
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
	if k := selectorModel(d).Key(); !slices.Contains(w.keys, k) {
		w.keys = append(w.keys, k)
	}
}
