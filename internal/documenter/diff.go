package documenter

import (
	"encoding/json"
	"fmt"
	"maps"
	"slices"
	"strings"
)

// Diff returns the differences from a to b with defaults filled in, one line each, sorted by path, or "" if there are
// none; a nil document has no fields.
func Diff(a, b *Document) string {
	before, after := flatten(a), flatten(b)
	paths := map[string]bool{}
	for p := range before {
		paths[p] = true
	}
	for p := range after {
		paths[p] = true
	}
	var out strings.Builder
	for _, p := range slices.Sorted(maps.Keys(paths)) {
		oldValue, hadOld := before[p]
		newValue, hasNew := after[p]
		if hadOld && hasNew && oldValue == newValue {
			continue
		}
		if hadOld {
			fmt.Fprintf(&out, "-%s: %s\n", p, oldValue)
		}
		if hasNew {
			fmt.Fprintf(&out, "+%s: %s\n", p, newValue)
		}
	}
	return out.String()
}

// Equal reports whether two documents are equal with defaults filled in.
func Equal(a, b *Document) bool { return Diff(a, b) == "" }

func flatten(d *Document) map[string]string {
	out := map[string]string{}
	if d == nil {
		return out
	}
	b, err := json.Marshal(d.WithDefaults())
	if err != nil {
		panic(err)
	}
	var tree map[string]any
	dec := json.NewDecoder(strings.NewReader(string(b)))
	dec.UseNumber()
	if err := dec.Decode(&tree); err != nil {
		panic(err)
	}
	flattenInto(out, "", tree)
	return out
}

func flattenInto(out map[string]string, path string, value any) {
	switch v := value.(type) {
	case map[string]any:
		for key, child := range v {
			flattenInto(out, joinPath(path, key), child)
		}
	case []any:
		for i, child := range v {
			flattenInto(out, fmt.Sprintf("%s[%s]", path, entryKey(child, i)), child)
		}
	default:
		out[path] = fmt.Sprint(v)
	}
}

// entryKey identifies a list entry by its name field, or else by its index, so that reordering a list of named entries
// makes no difference.
func entryKey(item any, index int) string {
	if m, ok := item.(map[string]any); ok {
		if name, ok := m["name"].(string); ok {
			return name
		}
	}
	return fmt.Sprint(index)
}
