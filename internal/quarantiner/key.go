package quarantiner

import (
	"strconv"

	"github.com/cespare/xxhash/v2"
)

// Key identifies content that requests have in common and that may crash targets.
type Key uint64

// PartKey returns the key of a part of a prompt to a model.
func PartKey(model, part string) Key { return hash(model, part) }

// RequestKey returns the key of a request as a whole: every repeat of it has the same key.
func RequestKey(service, method, uri string, body []byte) Key {
	return hash(service, method, uri, string(body))
}

// hash returns a hash of fields, which may contain any bytes.
func hash(fields ...string) Key {
	d := xxhash.New()
	for _, field := range fields {
		_, _ = d.WriteString(strconv.Itoa(len(field)) + ":" + field)
	}
	return Key(d.Sum64())
}
