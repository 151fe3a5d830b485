package documenter

import (
	"bytes"
	"cmp"
	"fmt"
	"io"
	"regexp"
	"slices"
	"strconv"
	"strings"

	"github.com/cockroachdb/errors"
	"go.yaml.in/yaml/v3"
)

// MaxDocumentBytes is the maximum size of the source of a service document.
const MaxDocumentBytes = 512 << 10

// Problem is one error in a document.
type Problem struct {
	// Path is the path of the field, such as workspaces[2].share; it is empty for the document as such.
	Path string
	// Line is the line, counted from 1; 0 stands for the document as such.
	Line    int
	Message string
}

// String returns the problem on one line.
func (p Problem) String() string {
	path := p.Path
	if path == "" {
		path = "document"
	}
	return fmt.Sprintf("line %d: %s: %s", p.Line, path, p.Message)
}

// Parse parses a document from YAML or JSON and returns it, or all problems found, sorted by line.
func Parse(source []byte) (*Document, []Problem) {
	root, problem := parseNode(source)
	if problem != nil {
		return nil, []Problem{*problem}
	}
	v := &validator{lines: map[string]int{}}
	v.checkValue(root, documentSchema(), "")
	doc := &Document{}
	if err := root.Decode(doc); err != nil && len(v.problems) == 0 {
		v.addProblem("", root.Line, "%s", err)
	}
	v.checkConsistency(doc)
	if len(v.problems) > 0 {
		slices.SortStableFunc(v.problems, func(a, b Problem) int { return cmp.Compare(a.Line, b.Line) })
		return nil, truncateProblems(v.problems)
	}
	return doc, nil
}

// maxProblems bounds the problems reported for a source that is not a service document at all.
const maxProblems = 1000

func truncateProblems(problems []Problem) []Problem {
	if len(problems) <= maxProblems {
		return problems
	}
	omitted := Problem{Line: problems[maxProblems].Line, Message: fmt.Sprintf("%d more problems from here on", len(problems)-maxProblems)}
	return append(problems[:maxProblems:maxProblems], omitted)
}

func parseNode(source []byte) (*yaml.Node, *Problem) {
	if len(source) > MaxDocumentBytes {
		return nil, &Problem{Message: fmt.Sprintf("has %d bytes, at most %d are accepted", len(source), MaxDocumentBytes)}
	}
	dec := yaml.NewDecoder(bytes.NewReader(source))
	var file yaml.Node
	if err := dec.Decode(&file); err != nil {
		if errors.Is(err, io.EOF) {
			return nil, &Problem{Message: "is empty"}
		}
		return nil, syntaxProblem(err)
	}
	if len(file.Content) == 0 {
		return nil, &Problem{Message: "is empty"}
	}
	var next yaml.Node
	if err := dec.Decode(&next); !errors.Is(err, io.EOF) {
		if err != nil {
			return nil, syntaxProblem(err)
		}
		return nil, &Problem{Line: next.Line, Message: "a second document begins here, one is accepted"}
	}
	if p := findReference(file.Content[0]); p != nil {
		return nil, p
	}
	return file.Content[0], nil
}

var syntaxLinePattern = regexp.MustCompile(`line (\d+): `)

// zeroBasedLinePrefix is the prefix of the YAML library's messages that count lines from 0.
const zeroBasedLinePrefix = "did not find expected"

func syntaxProblem(err error) *Problem {
	message := strings.TrimPrefix(err.Error(), "yaml: ")
	p := &Problem{Message: message}
	if m := syntaxLinePattern.FindStringSubmatchIndex(message); m != nil {
		p.Line, _ = strconv.Atoi(message[m[2]:m[3]])
		p.Message = message[:m[0]] + message[m[1]:]
		if strings.HasPrefix(p.Message, zeroBasedLinePrefix) {
			p.Line++
		}
	}
	return p
}

// findReference returns a problem for the first anchor or alias, which could expand a small source to a huge document.
func findReference(n *yaml.Node) *Problem {
	if n.Kind == yaml.AliasNode || n.Anchor != "" {
		return &Problem{Line: n.Line, Message: "anchors and aliases are not accepted; write the value out"}
	}
	for _, c := range n.Content {
		if p := findReference(c); p != nil {
			return p
		}
	}
	return nil
}

// Marshal returns the document as YAML.
func Marshal(d *Document) []byte {
	var b bytes.Buffer
	enc := yaml.NewEncoder(&b)
	enc.SetIndent(2)
	if err := enc.Encode(d); err != nil {
		panic(err)
	}
	return b.Bytes()
}
