package documenter

import (
	"encoding/json"
	"regexp"
	"sync"

	"github.com/invopop/jsonschema"
)

// schemaID is the identifier of the published schema.
const schemaID = "https://github.com/rattantray/rattantray/service/v1"

// Schema returns the JSON schema of a service document; Parse applies the same schema and also checks fields against
// each other.
func Schema() []byte {
	b, err := json.MarshalIndent(documentSchema(), "", "  ")
	if err != nil {
		panic(err)
	}
	return append(b, '\n')
}

var documentSchema = sync.OnceValue(func() *jsonschema.Schema {
	r := jsonschema.Reflector{
		DoNotReference:             true,
		RequiredFromJSONSchemaTags: true,
	}
	s := r.Reflect(&Document{})
	s.ID = schemaID
	s.Title = "rattantray service document"
	return s
})

var patterns sync.Map

func matchPattern(pattern, value string) bool {
	re, ok := patterns.Load(pattern)
	if !ok {
		re, _ = patterns.LoadOrStore(pattern, regexp.MustCompile(pattern))
	}
	return re.(*regexp.Regexp).MatchString(value)
}
