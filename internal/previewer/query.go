package previewer

import (
	"maps"
	"net/url"
	"slices"
	"strconv"
	"strings"

	"github.com/cockroachdb/errors"

	"github.com/rattantray/rattantray/internal/cataloger"
)

// Path is the path under which a gateway answers queries.
const Path = "/where"

// Query describes a request; it names a workspace in place of one of its keys.
type Query struct {
	Host      string
	Path      string
	Method    string
	Workspace cataloger.Workspace
	// Service is one of those of the route; empty means the one that most of its requests go to.
	Service string
	Model   string
	// Parts are the IDs of the parts of a generation's prompt.
	Parts []string
	// PromptTokens, MaxTokens and HintTokens are those of a generation; 0 means unknown.
	PromptTokens float64
	MaxTokens    float64
	HintTokens   float64
}

// texts and numbers return the fields of the query by the names of their parameters.
func (q *Query) texts() map[string]*string {
	return map[string]*string{
		"host": &q.Host, "path": &q.Path, "method": &q.Method, "workspace": (*string)(&q.Workspace), "service": &q.Service, "model": &q.Model,
	}
}

func (q *Query) numbers() map[string]*float64 {
	return map[string]*float64{"prompt-tokens": &q.PromptTokens, "max-tokens": &q.MaxTokens, "hint-tokens": &q.HintTokens}
}

// ParseQuery reads a query from the parameters of a URL. Its errors name no values, as one may be a key.
func ParseQuery(values url.Values) (Query, error) {
	q := Query{Method: "POST"}
	texts, numbers := q.texts(), q.numbers()
	names := slices.Sorted(maps.Keys(texts))
	names = append(append(names, "parts"), slices.Sorted(maps.Keys(numbers))...)
	for name := range values {
		value := values.Get(name)
		switch {
		case name == "parts":
			q.Parts = strings.Split(value, ",")
		case texts[name] != nil:
			*texts[name] = value
		case numbers[name] != nil:
			n, err := strconv.ParseFloat(value, 64)
			if err != nil || !(n >= 0 && n < 1e12) {
				return Query{}, errors.Newf("%s is not a number of tokens", name)
			}
			*numbers[name] = n
		default:
			return Query{}, errors.Newf("unknown parameter; use %s", strings.Join(names, ", "))
		}
	}
	if q.Host == "" || !strings.HasPrefix(q.Path, "/") {
		return Query{}, errors.New("host and path are needed, and the path begins with a slash")
	}
	q.Path, _, _ = strings.Cut(q.Path, "?")
	return q, nil
}

// Values returns the query as the parameters of a URL.
func (q Query) Values() url.Values {
	values := url.Values{}
	for name, text := range q.texts() {
		if *text != "" {
			values.Set(name, *text)
		}
	}
	for name, n := range q.numbers() {
		if *n != 0 {
			values.Set(name, strconv.FormatFloat(*n, 'f', -1, 64))
		}
	}
	if len(q.Parts) > 0 {
		values.Set("parts", strings.Join(q.Parts, ","))
	}
	return values
}
