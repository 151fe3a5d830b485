package list

import (
	"fmt"

	"github.com/rattantray/rattantray/internal/command/printer"
	v1 "github.com/rattantray/rattantray/pkg/api/rattantray/v1"
)

// Row returns the values of Fields for a target.
func Row(t *v1.TargetInfo) printer.Row {
	return printer.Row{
		"name":           t.Name,
		"state":          t.State,
		"kind":           t.Kind,
		"model":          t.Model,
		"version":        t.Version,
		"layers":         layerRange(t),
		"outstanding":    t.Outstanding,
		"data-centre":    t.DataCentre,
		"vm":             t.Vm,
		"address":        t.Address,
		"checks-fencing": t.ChecksFencing,
	}
}

func layerRange(t *v1.TargetInfo) string {
	if t.EndLayer == 0 {
		return ""
	}
	return fmt.Sprintf("%d-%d", t.FirstLayer, t.EndLayer-1)
}
