package documenter

import (
	"bytes"
	"encoding/json"
	"flag"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/santhosh-tekuri/jsonschema/v6"
	"github.com/stretchr/testify/require"
	"go.yaml.in/yaml/v3"
	"pgregory.net/rapid"
)

func TestMain(m *testing.M) {
	flag.Parse()
	seeded := false
	flag.Visit(func(f *flag.Flag) { seeded = seeded || f.Name == "rapid.seed" })
	if !seeded {
		_ = flag.Set("rapid.seed", "20261203")
	}
	os.Exit(m.Run())
}

const plainDocument = `format: rattantray/service/v1
name: cards
owner: desk
type: plain
workspaces:
  - name: counter
    share: 2
plain:
  methods:
    - name: GET /cards
      idempotent: true
limits:
  deadline: 10s
`

func readExample(t testing.TB, name string) []byte {
	b, err := os.ReadFile(filepath.Join("..", "..", "docs", "examples", name))
	require.NoError(t, err)
	return b
}

func TestExamplesParse(t *testing.T) {
	for _, name := range []string{"railcard-renewals.yaml", "manuscript-reports.yaml"} {
		doc, problems := Parse(readExample(t, name))
		require.Empty(t, problems, name)
		require.Equal(t, strings.TrimSuffix(name, ".yaml"), doc.Name)
		again, problems := Parse(Marshal(doc))
		require.Empty(t, problems)
		require.Equal(t, doc, again)
		asJSON, err := json.Marshal(doc)
		require.NoError(t, err)
		fromJSON, problems := Parse(asJSON)
		require.Empty(t, problems)
		require.Equal(t, doc, fromJSON)
		effective := doc.WithDefaults()
		reparsed, problems := Parse(Marshal(effective))
		require.Empty(t, problems, "a document with its defaults written out is accepted")
		require.Equal(t, effective, reparsed)
	}
}

// Each case replaces text in plainDocument; cases with schemaRejects are rejected by the JSON schema as well.
var invalidDocuments = []struct {
	name          string
	old, new      string
	want          []Problem
	schemaRejects bool
}{
	{"unknown field", "  deadline: 10s", "  dead-line: 10s",
		[]Problem{{"limits.dead-line", 13, "unknown field; did you mean deadline?"}}, true},
	{"unknown field without a suggestion", "owner: desk", "owner: desk\nreplicas: 3",
		[]Problem{{"replicas", 4, "unknown field; known here: format, name, owner, type, workspaces, model, plain, at-most-once, ordering, limits, priorities, retry"}}, true},
	{"duplicate key", "owner: desk", "owner: desk\nowner: desk",
		[]Problem{{"owner", 4, "is given twice, first on line 3"}}, false},
	{"required", "owner: desk\n", "", []Problem{{"owner", 1, "is required"}}, true},
	{"no value", "owner: desk", "owner:", []Problem{{"owner", 3, "has no value; give one or leave the key out"}}, true},
	{"no unit", "deadline: 10s", "deadline: 10",
		[]Problem{{"limits.deadline", 13, `"10" has no unit; write a duration as 500ms, 30s or 1h30m`}}, true},
	{"wrong unit", "deadline: 10s", "deadline: 10 seconds",
		[]Problem{{"limits.deadline", 13, `"10 seconds" is not a duration; write it as 500ms, 30s or 1h30m`}}, true},
	{"negative duration", "deadline: 10s", "deadline: -10s",
		[]Problem{{"limits.deadline", 13, `"-10s" is not a duration; write it as 500ms, 30s or 1h30m`}}, true},
	{"zero duration", "deadline: 10s", "deadline: 0s",
		[]Problem{{"limits.deadline", 13, "0s is out of range; it must be over 0 and at most 744h"}}, false},
	{"zero share", "share: 2", "share: 0", []Problem{{"workspaces[0].share", 7, "is 0, must be over 0"}}, true},
	{"share not a number", "share: 2", "share: .nan", []Problem{{"workspaces[0].share", 7, ".nan is not a number that can be used"}}, false},
	{"share as text", "share: 2", `share: "2"`, []Problem{{"workspaces[0].share", 7, `must be a number, is the text "2"`}}, true},
	{"fractional concurrency", "share: 2", "concurrency: 1.5",
		[]Problem{{"workspaces[0].concurrency", 7, "must be a whole number, is the number 1.5"}}, true},
	{"out of range", "share: 2", "concurrency: 1000001",
		[]Problem{{"workspaces[0].concurrency", 7, "is 1000001, must be at most 1000000"}}, true},
	{"name", "name: cards", "name: Cards_1",
		[]Problem{{"name", 2, `"Cards_1" is not accepted; it must match ^[a-z0-9]+(-[a-z0-9]+)*$`}}, true},
	{"number as name", "name: cards", "name: 12", []Problem{{"name", 2, "must be text, is the number 12; put it in quotes"}}, true},
	{"type", "type: plain", "type: batch", []Problem{{"type", 4, `"batch" is not accepted; use model or plain`}}, true},
	{"not a list", "workspaces:\n  - name: counter\n    share: 2", "workspaces: counter",
		[]Problem{{"workspaces", 5, `must be a list, is the text "counter"`}}, true},
	{"empty list", "workspaces:\n  - name: counter\n    share: 2", "workspaces: []",
		[]Problem{{"workspaces", 5, "has 0 entries, at least 1 are needed"}}, true},
	{"method", "GET /cards", "FETCH cards",
		[]Problem{{"plain.methods[0].name", 10, `"FETCH cards" is not accepted; it must match ^(GET|HEAD|POST|PUT|PATCH|DELETE) /[!-~]*$`}}, true},
	{"not true or false", "idempotent: true", "idempotent: often",
		[]Problem{{"plain.methods[0].idempotent", 11, `must be true or false, is the text "often"`}}, true},
	{"model service without model", "type: plain", "type: model", []Problem{
		{"model", 1, "is required for a service of type model"},
		{"plain", 9, "is only for a service of type plain"}}, false},
	{"duplicate workspace name", "    share: 2", "    share: 2\n  - name: counter",
		[]Problem{{"workspaces[1].name", 8, `"counter" is the name of workspaces[0] as well`}}, false},
	{"duplicate method name", "      idempotent: true", "      idempotent: true\n    - name: GET /cards",
		[]Problem{{"plain.methods[1].name", 12, `"GET /cards" is the name of plain.methods[0] as well`}}, false},
	{"deadline over the maximum", "  deadline: 10s", "  deadline: 10s\n  max-deadline: 5s",
		[]Problem{{"limits.deadline", 13, "is 10s, over limits.max-deadline, which is 5s"}}, false},
	{"timeout over the maximum deadline", "idempotent: true", "timeout: 1h",
		[]Problem{{"plain.methods[0].timeout", 11, "is 1h, over limits.max-deadline, which is 10m"}}, false},
	{"retention under the maximum deadline", "limits:", "at-most-once:\n  retention: 1m\nlimits:",
		[]Problem{{"at-most-once.retention", 13, "is 1m, under limits.max-deadline, which is 10m"}}, false},
	{"share so small that it starves", "    share: 2", "    share: 1000000\n  - name: kiosk\n    share: 0.001",
		[]Problem{{"workspaces", 6, "the smallest share, 0.001, is under a millionth of the sum and would starve"}}, false},
	{"several problems", "share: 2", "share: -1\n    ratee: 3\n    concurrency: many", []Problem{
		{"workspaces[0].share", 7, "is -1, must be over 0"},
		{"workspaces[0].ratee", 8, "unknown field; did you mean rate?"},
		{"workspaces[0].concurrency", 9, `must be a whole number, is the text "many"`}}, true},
	{"anchor", "owner: desk", "owner: &a desk", []Problem{{"", 3, "anchors and aliases are not accepted; write the value out"}}, false},
	{"two documents", "limits:", "---\nlimits:", []Problem{{"", 12, "a second document begins here, one is accepted"}}, false},
	{"syntax", "owner: desk", "owner: [desk", []Problem{{"", 3, "did not find expected ',' or ']'"}}, false},
	{"empty", plainDocument, "", []Problem{{"", 0, "is empty"}}, false},
}

func TestInvalidDocuments(t *testing.T) {
	for _, c := range invalidDocuments {
		t.Run(c.name, func(t *testing.T) {
			require.Contains(t, plainDocument, c.old)
			source := strings.Replace(plainDocument, c.old, c.new, 1)
			doc, problems := Parse([]byte(source))
			require.Nil(t, doc)
			require.Equal(t, c.want, problems)
			if c.schemaRejects {
				require.Error(t, validateBySchema(t, []byte(source)), "the schema rejects it as well")
			}
		})
	}
}

func TestOversizedDocument(t *testing.T) {
	_, problems := Parse(bytes.Repeat([]byte(" "), MaxDocumentBytes+1))
	require.Len(t, problems, 1)
}

func TestProblemsAreTruncated(t *testing.T) {
	source := []byte(plainDocument)
	for i := range 3 * maxProblems {
		source = fmt.Appendf(source, "x%d: 1\n", i)
	}
	_, problems := Parse(source)
	require.Len(t, problems, maxProblems+1)
	require.Equal(t, "2000 more problems from here on", problems[maxProblems].Message)
}

func TestSchemaAcceptsExamples(t *testing.T) {
	require.NoError(t, validateBySchema(t, []byte(plainDocument)))
	require.NoError(t, validateBySchema(t, readExample(t, "railcard-renewals.yaml")))
	require.NoError(t, validateBySchema(t, readExample(t, "manuscript-reports.yaml")))
}

// Parser and schema agree on generated documents, except for problems that only the parser detects.
func TestSchemaAgreesWithParser(t *testing.T) {
	lines := strings.Split(strings.TrimSpace(string(readExample(t, "railcard-renewals.yaml"))), "\n")
	values := []string{"0", "-1", "1", "1.5", "true", "x", `"7"`, "30s", "[]", "{}", "~", "99999999999999", "GET /x", "model"}
	rapid.Check(t, func(t *rapid.T) {
		changed := append([]string(nil), lines...)
		for range rapid.IntRange(1, 3).Draw(t, "edits") {
			i := rapid.IntRange(0, len(changed)-1).Draw(t, "line")
			key, _, ok := strings.Cut(changed[i], ": ")
			if ok {
				changed[i] = key + ": " + rapid.SampledFrom(values).Draw(t, "value")
			}
		}
		source := []byte(strings.Join(changed, "\n"))
		root, problem := parseNode(source)
		if problem != nil {
			return
		}
		v := &validator{lines: map[string]int{}}
		v.checkValue(root, documentSchema(), "")
		schemaProblems := 0
		for _, p := range v.problems {
			if !strings.Contains(p.Message, "is out of range") && !strings.Contains(p.Message, "is given twice") {
				schemaProblems++
			}
		}
		err := validateBySchema(t, source)
		if (schemaProblems > 0) != (err != nil) {
			t.Fatalf("parser %v, schema %v, document:\n%s", v.problems, err, source)
		}
	})
}

func validateBySchema(t interface{ Fatalf(string, ...any) }, source []byte) error {
	raw, err := jsonschema.UnmarshalJSON(bytes.NewReader(Schema()))
	if err != nil {
		t.Fatalf("schema: %v", err)
	}
	c := jsonschema.NewCompiler()
	if err := c.AddResource("service.json", raw); err != nil {
		t.Fatalf("schema: %v", err)
	}
	compiled, err := c.Compile("service.json")
	if err != nil {
		t.Fatalf("schema: %v", err)
	}
	var value any
	if err := yaml.Unmarshal(source, &value); err != nil {
		return err
	}
	return compiled.Validate(value)
}

func TestDiff(t *testing.T) {
	a, problems := Parse([]byte(plainDocument))
	require.Empty(t, problems)
	b, problems := Parse([]byte(strings.NewReplacer("share: 2", "share: 3", "owner: desk", "owner: desk\nretry:\n  max-attempts: 6").Replace(plainDocument)))
	require.Empty(t, problems)
	require.Equal(t, "-workspaces[counter].share: 2\n+workspaces[counter].share: 3\n", Diff(a, b), "an explicit default makes no difference")
	require.True(t, Equal(a, a))
	require.Contains(t, Diff(nil, a), "+name: cards\n")
	require.Contains(t, Diff(a, nil), "-name: cards\n")
}

func FuzzParse(f *testing.F) {
	f.Add([]byte(plainDocument))
	f.Add(readExample(f, "railcard-renewals.yaml"))
	f.Add(readExample(f, "manuscript-reports.yaml"))
	for _, c := range invalidDocuments {
		f.Add([]byte(strings.Replace(plainDocument, c.old, c.new, 1)))
	}
	f.Fuzz(func(t *testing.T, source []byte) {
		doc, problems := Parse(source)
		require.Equal(t, doc == nil, len(problems) > 0)
		if doc == nil {
			return
		}
		again, problems := Parse(Marshal(doc))
		require.Empty(t, problems)
		require.Equal(t, doc, again)
		require.True(t, Equal(doc, doc.WithDefaults()))
	})
}

func documentOfSize(workspaces int) *Document {
	doc := &Document{Format: Format, Name: "reader", Owner: "desk", Type: TypeModel,
		Model: &Model{Name: "reader", Version: "1", Layers: 48}}
	for i := range workspaces {
		doc.Workspaces = append(doc.Workspaces, Workspace{Name: fmt.Sprintf("workspace-%d", i), Share: 1 + float64(i%7), Rate: 5, Concurrency: 20})
	}
	return doc
}

func BenchmarkParse(b *testing.B) {
	for _, n := range []int{10, 100, 400, 1300} {
		source := Marshal(documentOfSize(n))
		b.Run(fmt.Sprintf("workspaces=%d", n), func(b *testing.B) {
			b.ReportAllocs()
			b.SetBytes(int64(len(source)))
			for b.Loop() {
				if _, problems := Parse(source); problems != nil {
					b.Fatal(problems)
				}
			}
		})
	}
}
