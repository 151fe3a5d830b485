package documenter

import (
	"fmt"
	"math"
)

// maxModelBytes bounds the weights of a model, so that sums over it stay exact in floating point.
const maxModelBytes = 1 << 50

// checkConsistency reports fields that contradict each other; it skips fields that already have a problem.
func (v *validator) checkConsistency(d *Document) {
	reported := map[string]bool{}
	for _, p := range v.problems {
		reported[p.Path] = true
	}
	report := func(path, format string, args ...any) {
		if !reported[path] {
			v.addProblem(path, v.nearestLine(path), format, args...)
		}
	}
	checkType(d, report)
	checkNames(d, report)
	checkDurations(d, report)
	checkTotals(d, report)
}

// nearestLine returns the line of a path, or of its nearest parent that is present.
func (v *validator) nearestLine(path string) int {
	for {
		if line, ok := v.lines[path]; ok || path == "" {
			return line
		}
		path = parentPath(path)
	}
}

func parentPath(path string) string {
	for i := len(path) - 1; i >= 0; i-- {
		if path[i] == '.' || path[i] == '[' {
			return path[:i]
		}
	}
	return ""
}

type reportFunc func(path, format string, args ...any)

func checkType(d *Document, report reportFunc) {
	switch d.Type {
	case TypeModel:
		if d.Model == nil {
			report("model", "is required for a service of type model")
		}
		if d.Plain != nil {
			report("plain", "is only for a service of type plain")
		}
	case TypePlain:
		if d.Plain == nil {
			report("plain", "is required for a service of type plain")
		}
		if d.Model != nil {
			report("model", "is only for a service of type model")
		}
	}
}

func checkNames(d *Document, report reportFunc) {
	workspaces := map[string]int{}
	for i, w := range d.Workspaces {
		if first, ok := workspaces[w.Name]; ok && w.Name != "" {
			report(fmt.Sprintf("workspaces[%d].name", i), "%q is the name of workspaces[%d] as well", w.Name, first)
			continue
		}
		workspaces[w.Name] = i
	}
	if d.Plain == nil {
		return
	}
	methods := map[string]int{}
	for i, m := range d.Plain.Methods {
		if first, ok := methods[m.Name]; ok && m.Name != "" {
			report(fmt.Sprintf("plain.methods[%d].name", i), "%q is the name of plain.methods[%d] as well", m.Name, first)
			continue
		}
		methods[m.Name] = i
	}
}

func checkDurations(d *Document, report reportFunc) {
	effective := d.WithDefaults()
	limit := effective.Limits.MaxDeadline
	if d.Limits.Deadline > limit {
		report("limits.deadline", "is %s, over limits.max-deadline, which is %s", d.Limits.Deadline, limit)
	}
	if d.Ordering.Wait > limit {
		report("ordering.wait", "is %s, over limits.max-deadline, which is %s", d.Ordering.Wait, limit)
	}
	if retention := effective.AtMostOnce.Retention; retention < limit {
		report("at-most-once.retention", "is %s, under limits.max-deadline, which is %s", retention, limit)
	}
	if d.Plain == nil {
		return
	}
	for i, m := range d.Plain.Methods {
		if m.Timeout > limit {
			report(fmt.Sprintf("plain.methods[%d].timeout", i), "is %s, over limits.max-deadline, which is %s", m.Timeout, limit)
		}
	}
}

func checkTotals(d *Document, report reportFunc) {
	if m := d.Model; m != nil && float64(m.Layers)*float64(m.LayerBytes) > maxModelBytes {
		report("model.layer-bytes", "times layers is over %d bytes", uint64(maxModelBytes))
	}
	sum, smallest := 0.0, math.Inf(1)
	for _, w := range d.WithDefaults().Workspaces {
		sum += w.Share
		smallest = min(smallest, w.Share)
	}
	if smallest > 0 && sum/smallest > maxShareRatio {
		report("workspaces", "the smallest share, %g, is under a millionth of the sum and would starve", smallest)
	}
}

// maxShareRatio is the maximum ratio of the sum of all shares to one share.
const maxShareRatio = 1e6
