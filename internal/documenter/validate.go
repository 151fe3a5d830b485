package documenter

import (
	"encoding/json"
	"fmt"
	"math"
	"strconv"
	"strings"
	"time"
	"unicode/utf8"

	"github.com/invopop/jsonschema"
	"go.yaml.in/yaml/v3"
)

// validator checks a YAML tree against a JSON schema and collects problems.
type validator struct {
	problems []Problem
	// lines maps each path that is present to its line.
	lines map[string]int
}

func (v *validator) addProblem(path string, line int, format string, args ...any) {
	v.problems = append(v.problems, Problem{Path: path, Line: line, Message: fmt.Sprintf(format, args...)})
}

func (v *validator) checkValue(n *yaml.Node, s *jsonschema.Schema, path string) {
	v.lines[path] = n.Line
	if n.Kind == yaml.ScalarNode && n.ShortTag() == "!!null" {
		v.addProblem(path, n.Line, "has no value; give one or leave the key out")
		return
	}
	switch s.Type {
	case "object":
		v.checkObject(n, s, path)
	case "array":
		v.checkArray(n, s, path)
	case "string":
		v.checkText(n, s, path)
	case "integer", "number":
		v.checkNumber(n, s, path)
	case "boolean":
		if n.Kind != yaml.ScalarNode || n.ShortTag() != "!!bool" {
			v.addProblem(path, n.Line, "must be true or false, is %s", describe(n))
		}
	default:
		v.addProblem(path, n.Line, "has a schema of unknown type %q", s.Type)
	}
}

func (v *validator) checkObject(n *yaml.Node, s *jsonschema.Schema, path string) {
	if n.Kind != yaml.MappingNode {
		v.addProblem(path, n.Line, "must be a mapping of keys to values, is %s", describe(n))
		return
	}
	seen := map[string]int{}
	for i := 0; i+1 < len(n.Content); i += 2 {
		key, val := n.Content[i], n.Content[i+1]
		child := joinPath(path, key.Value)
		if key.Kind != yaml.ScalarNode || key.ShortTag() != "!!str" {
			v.addProblem(path, key.Line, "has a key that is not text: %s", describe(key))
			continue
		}
		if first, ok := seen[key.Value]; ok {
			v.addProblem(child, key.Line, "is given twice, first on line %d", first)
			continue
		}
		seen[key.Value] = key.Line
		property, ok := s.Properties.Get(key.Value)
		if !ok {
			v.addProblem(child, key.Line, "unknown field%s", suggest(key.Value, s))
			continue
		}
		v.checkValue(val, property, child)
	}
	for _, name := range s.Required {
		if _, ok := seen[name]; !ok {
			v.addProblem(joinPath(path, name), n.Line, "is required")
		}
	}
}

func (v *validator) checkArray(n *yaml.Node, s *jsonschema.Schema, path string) {
	if n.Kind != yaml.SequenceNode {
		v.addProblem(path, n.Line, "must be a list, is %s", describe(n))
		return
	}
	if count := uint64(len(n.Content)); s.MinItems != nil && count < *s.MinItems {
		v.addProblem(path, n.Line, "has %d entries, at least %d are needed", count, *s.MinItems)
	} else if s.MaxItems != nil && count > *s.MaxItems {
		v.addProblem(path, n.Line, "has %d entries, at most %d are accepted", count, *s.MaxItems)
	}
	for i, item := range n.Content {
		v.checkValue(item, s.Items, path+"["+strconv.Itoa(i)+"]")
	}
}

func (v *validator) checkText(n *yaml.Node, s *jsonschema.Schema, path string) {
	isDuration := strings.HasSuffix(s.Pattern, durationPatternSuffix)
	if n.Kind != yaml.ScalarNode || n.ShortTag() != "!!str" {
		switch {
		case isDuration && n.Kind == yaml.ScalarNode:
			v.addProblem(path, n.Line, "%q has no unit; write a duration as 500ms, 30s or 1h30m", n.Value)
		case n.Kind == yaml.ScalarNode:
			v.addProblem(path, n.Line, "must be text, is %s; put it in quotes", describe(n))
		default:
			v.addProblem(path, n.Line, "must be text, is %s", describe(n))
		}
		return
	}
	length := uint64(utf8.RuneCountInString(n.Value))
	switch {
	case isDuration:
		v.checkDuration(n, s, path)
	case len(s.Enum) > 0:
		v.checkEnum(n, s, path)
	case s.MinLength != nil && length < *s.MinLength:
		v.addProblem(path, n.Line, "must not be empty")
	case s.MaxLength != nil && length > *s.MaxLength:
		v.addProblem(path, n.Line, "has %d characters, at most %d are accepted", length, *s.MaxLength)
	case s.Pattern != "" && !matchPattern(s.Pattern, n.Value):
		v.addProblem(path, n.Line, "%q is not accepted; it must match %s", n.Value, s.Pattern)
	}
}

// durationPatternSuffix distinguishes the pattern of durations from others.
const durationPatternSuffix = "(ns|us|µs|ms|s|m|h))+$"

func (v *validator) checkDuration(n *yaml.Node, s *jsonschema.Schema, path string) {
	if !matchPattern(s.Pattern, n.Value) {
		v.addProblem(path, n.Line, "%q is not a duration; write it as 500ms, 30s or 1h30m", n.Value)
		return
	}
	if d, err := time.ParseDuration(n.Value); err != nil || d <= 0 || d > maxDuration {
		v.addProblem(path, n.Line, "%s is out of range; it must be over 0 and at most %s", n.Value, Duration(maxDuration))
	}
}

// maxDuration bounds every duration in a document.
const maxDuration = 31 * 24 * time.Hour

func (v *validator) checkEnum(n *yaml.Node, s *jsonschema.Schema, path string) {
	accepted := make([]string, 0, len(s.Enum))
	for _, e := range s.Enum {
		if e == n.Value {
			return
		}
		accepted = append(accepted, fmt.Sprint(e))
	}
	v.addProblem(path, n.Line, "%q is not accepted; use %s", n.Value, strings.Join(accepted, " or "))
}

func (v *validator) checkNumber(n *yaml.Node, s *jsonschema.Schema, path string) {
	tag := n.ShortTag()
	isInteger := s.Type == "integer"
	if n.Kind != yaml.ScalarNode || tag != "!!int" && (isInteger || tag != "!!float") {
		want := "a number"
		if isInteger {
			want = "a whole number"
		}
		v.addProblem(path, n.Line, "must be %s, is %s", want, describe(n))
		return
	}
	var f float64
	if err := n.Decode(&f); err != nil || math.IsNaN(f) || math.IsInf(f, 0) {
		v.addProblem(path, n.Line, "%s is not a number that can be used", n.Value)
		return
	}
	if low, ok := parseBound(s.Minimum); ok && f < low {
		v.addProblem(path, n.Line, "is %s, must be at least %s", n.Value, s.Minimum)
	}
	if low, ok := parseBound(s.ExclusiveMinimum); ok && f <= low {
		v.addProblem(path, n.Line, "is %s, must be over %s", n.Value, s.ExclusiveMinimum)
	}
	if high, ok := parseBound(s.Maximum); ok && f > high {
		v.addProblem(path, n.Line, "is %s, must be at most %s", n.Value, s.Maximum)
	}
}

func parseBound(n json.Number) (float64, bool) {
	f, err := n.Float64()
	return f, err == nil
}

func joinPath(path, key string) string {
	if path == "" {
		return key
	}
	return path + "." + key
}

func describe(n *yaml.Node) string {
	switch n.Kind {
	case yaml.MappingNode:
		return "a mapping"
	case yaml.SequenceNode:
		return "a list"
	}
	switch n.ShortTag() {
	case "!!str":
		return fmt.Sprintf("the text %q", n.Value)
	case "!!int", "!!float":
		return "the number " + n.Value
	case "!!bool":
		return n.Value
	case "!!null":
		return "nothing"
	}
	return fmt.Sprintf("%q of type %s", n.Value, n.ShortTag())
}

// maxSuggestionDistance is the maximum edit distance between an unknown field and the one suggested.
const maxSuggestionDistance = 3

func suggest(name string, s *jsonschema.Schema) string {
	best, bestDistance := "", maxSuggestionDistance+1
	var all []string
	for p := s.Properties.Oldest(); p != nil; p = p.Next() {
		all = append(all, p.Key)
		if d := editDistance(strings.ToLower(name), p.Key); d < bestDistance {
			best, bestDistance = p.Key, d
		}
	}
	if best != "" && bestDistance < len(name) {
		return fmt.Sprintf("; did you mean %s?", best)
	}
	return "; known here: " + strings.Join(all, ", ")
}

// editDistance returns the Levenshtein distance in bytes.
func editDistance(a, b string) int {
	row := make([]int, len(b)+1)
	for j := range row {
		row[j] = j
	}
	for i := range len(a) {
		diagonal := row[0]
		row[0] = i + 1
		for j := range len(b) {
			cost := 1
			if a[i] == b[j] {
				cost = 0
			}
			next := min(row[j+1]+1, row[j]+1, diagonal+cost)
			diagonal, row[j+1] = row[j+1], next
		}
	}
	return row[len(b)]
}
