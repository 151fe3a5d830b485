package documenter

import (
	"encoding/json"
	"fmt"
	"maps"
	"slices"
	"strings"
)

// Diff returns the differences in meaning from a to b, one line each by path, or "" where there are none; a nil document has no fields.
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
		old, hadOld := before[p]
		value, hasNew := after[p]
		if hadOld && hasNew && old == value {
			continue
		}
		if hadOld {
			fmt.Fprintf(&out, "-%s: %s\n", p, old)
		}
		if hasNew {
			fmt.Fprintf(&out, "+%s: %s\n", p, value)
		}
	}
	return out.String()
}

// Equal tells whether two documents mean the same.
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
			flattenInto(out, join(path, key), child)
		}
	case []any:
		for i, child := range v {
			flattenInto(out, fmt.Sprintf("%s[%s]", path, itemName(child, i)), child)
		}
	default:
		out[path] = fmt.Sprint(v)
	}
}

// itemName names a list entry by its name field, so that a reordered list has no difference.
func itemName(item any, index int) string {
	if m, ok := item.(map[string]any); ok {
		if name, ok := m["name"].(string); ok {
			return name
		}
	}
	return fmt.Sprint(index)
}
