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

// MaxDocumentBytes is the largest source of a service document.
const MaxDocumentBytes = 512 << 10

// Problem is one error in a document.
type Problem struct {
	// Path names the field, as workspaces[2].share; it is empty for the whole document.
	Path string
	// Line counts from 1; 0 is the whole document.
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

// Parse reads a document from YAML or JSON and returns it, or every problem found in the order of lines.
func Parse(source []byte) (*Document, []Problem) {
	root, problem := parseNode(source)
	if problem != nil {
		return nil, []Problem{*problem}
	}
	v := &validator{lines: map[string]int{}}
	v.value(root, documentSchema(), "")
	doc := &Document{}
	if err := root.Decode(doc); err != nil && len(v.problems) == 0 {
		v.add("", root.Line, "%s", err)
	}
	v.check(doc)
	if len(v.problems) > 0 {
		slices.SortStableFunc(v.problems, func(a, b Problem) int { return cmp.Compare(a.Line, b.Line) })
		return nil, shorten(v.problems)
	}
	return doc, nil
}

// maxProblems bounds the report on a source that is no service document at all.
const maxProblems = 1000

func shorten(problems []Problem) []Problem {
	if len(problems) <= maxProblems {
		return problems
	}
	left := Problem{Line: problems[maxProblems].Line, Message: fmt.Sprintf("%d more problems from here on", len(problems)-maxProblems)}
	return append(problems[:maxProblems:maxProblems], left)
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
	if p := refuseReferences(file.Content[0]); p != nil {
		return nil, p
	}
	return file.Content[0], nil
}

var syntaxLine = regexp.MustCompile(`line (\d+): `)

// parserMessage begins the library's messages that count lines from 0.
const parserMessage = "did not find expected"

func syntaxProblem(err error) *Problem {
	message := strings.TrimPrefix(err.Error(), "yaml: ")
	p := &Problem{Message: message}
	if m := syntaxLine.FindStringSubmatchIndex(message); m != nil {
		p.Line, _ = strconv.Atoi(message[m[2]:m[3]])
		p.Message = message[:m[0]] + message[m[1]:]
		if strings.HasPrefix(p.Message, parserMessage) {
			p.Line++
		}
	}
	return p
}

// refuseReferences refuses anchors and aliases, which can make a small source a huge document.
func refuseReferences(n *yaml.Node) *Problem {
	if n.Kind == yaml.AliasNode || n.Anchor != "" {
		return &Problem{Line: n.Line, Message: "anchors and aliases are not accepted; write the value out"}
	}
	for _, c := range n.Content {
		if p := refuseReferences(c); p != nil {
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
