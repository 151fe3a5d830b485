package matcher

import (
	stderrors "errors"
	"fmt"

	"github.com/cockroachdb/errors"
)

// Check returns an error that names every value of the document that makes no sense: negative priorities, times, weights and engine
// figures. Shares that all weigh nothing are valid: the last one gets all requests.
func (d Document) Check() error {
	var errs []error
	for i := range d.Routes {
		errs = append(errs, d.Routes[i].check())
	}
	for i := range d.Services {
		if e := d.Services[i].Engine; e != nil {
			errs = append(errs, e.check("service "+d.Services[i].Name))
		}
	}
	for _, w := range d.Workspaces {
		if w.Priority != nil {
			errs = append(errs, checkNotNegative(fmt.Sprintf("workspace %s: priority", w.Name), float64(*w.Priority)))
		}
	}
	return stderrors.Join(errs...)
}

func (r *Route) check() error {
	name := "route " + r.Name
	errs := []error{
		checkNotNegative(name+": priority", float64(r.Priority)),
		checkNotNegative(name+": timeout", r.Timeout.Seconds()),
		checkNotNegative(name+": latency objective", r.Objective.Seconds()),
		checkNotNegative(name+": gap objective", r.GapObjective.Seconds()),
	}
	for _, s := range r.Shares {
		errs = append(errs, checkNotNegative(name+": weight of "+s.Service, s.Weight))
	}
	return stderrors.Join(errs...)
}

func (e *Engine) check(service string) error {
	errs := []error{
		checkNotNegative(service+": step time", e.StepTime.Seconds()),
		checkNotNegative(service+": time of a sequence", e.SequenceTime.Seconds()),
		checkNotNegative(service+": time of context", e.ContextTime.Seconds()),
		checkNotNegative(service+": steps in a pass", float64(e.StepsPerPass)),
		checkNotNegative(service+": usual prompt", e.UsualPrompt),
		checkNotNegative(service+": usual answer", e.UsualAnswer),
	}
	for name, k := range e.Kinds {
		errs = append(errs, checkNotNegative(service+": pace of "+name, k.Pace))
	}
	return stderrors.Join(errs...)
}

func checkNotNegative(what string, value float64) error {
	if value < 0 {
		return errors.Newf("%s is negative: %v", what, value)
	}
	return nil
}
