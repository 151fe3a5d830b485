package documenter

import (
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
	"go.yaml.in/yaml/v3"
)

// oddValues are values that no field holds, or that only look like one.
func oddValues() map[string]string {
	const deep = 60000
	return map[string]string{
		"nested lists": strings.Repeat("[", deep) + strings.Repeat("]", deep), "nested objects": strings.Repeat(`{"a":`, deep) + "1" + strings.Repeat("}", deep),
		"nested to the limit": strings.Repeat("[", 9000) + strings.Repeat("]", 9000), "unclosed": strings.Repeat("[", deep),
		"infinity": ".inf", "negative infinity": "-.inf", "not a number": ".nan", "too large": "1e400", "huge": "1e308", "tiny": "1e-400", "many digits": strings.Repeat("9", 5000),
		"over 64 bits": "18446744073709551616", "negative": "-9223372036854775809", "huge duration": "99999999999h", "port": "10.0.0.1:99999", "NUL": "\"\\0\"",
		"invalid UTF-8": "\"\xff\xfe\"", "huge string": strings.Repeat("x", 300<<10), "alias": "*a", "anchor": "&a [*a]", "tag": "!!binary AA==", "map with a list as key": "{[1]: 2}",
		"merge": "{<<: {a: 1}}", "null": "null", "word": "yes", "date": "2026-12-05", "repeated key": "{a: 1, a: 2}",
	}
}

// setField returns a document with the value of the n-th scalar replaced, or false if it has fewer.
func setField(t *testing.T, source []byte, n int, value string) (string, bool) {
	const mark = "a-mark-in-place-of-a-value"
	var root yaml.Node
	require.NoError(t, yaml.Unmarshal(source, &root))
	found := false
	var visit func(node *yaml.Node)
	visit = func(node *yaml.Node) {
		for i, c := range node.Content {
			if node.Kind == yaml.MappingNode && i%2 == 0 {
				continue
			}
			if c.Kind != yaml.ScalarNode {
				visit(c)
				continue
			}
			if n == 0 && !found {
				*c, found = yaml.Node{Kind: yaml.ScalarNode, Value: mark}, true
			}
			n--
		}
	}
	visit(&root)
	out, err := yaml.Marshal(&root)
	require.NoError(t, err)
	return strings.Replace(string(out), mark, value, 1), found
}

// TestOddValuesEndNoProcess guards against documents that end the daemons which check, compare and store them.
func TestOddValuesEndNoProcess(t *testing.T) {
	for _, name := range []string{"railcard-renewals.yaml", "manuscript-reports.yaml"} {
		source := readExample(t, name)
		before, problems := Parse(source)
		require.Empty(t, problems)
		for what, value := range oddValues() {
			for n := 0; ; n++ {
				odd, ok := setField(t, source, n, value)
				if !ok {
					require.Greater(t, n, 10, "the examples have more fields")
					break
				}
				doc, problems := Parse([]byte(odd))
				if doc == nil {
					require.NotEmpty(t, problems, "%s in field %d of %s", what, n, name)
					continue
				}
				again, problems := Parse(Marshal(doc))
				require.Empty(t, problems, "%s in field %d of %s", what, n, name)
				require.Equal(t, doc, again)
				Diff(before, doc)
			}
		}
	}
	for what, value := range oddValues() {
		doc, problems := Parse([]byte(value))
		require.Nil(t, doc, what)
		require.NotEmpty(t, problems, what)
	}
}
