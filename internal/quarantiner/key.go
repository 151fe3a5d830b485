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

// ContentKey returns the key of all that a caller asks for: each repeat of a request by the same caller has the same key, whatever
// its ID.
func ContentKey(caller, host, method, uri, model string, parts []string, body []byte) Key {
	d := xxhash.New()
	add(d, caller, host, method, uri, model, strconv.Itoa(len(parts)))
	add(d, parts...)
	_, _ = d.Write(body)
	return Key(d.Sum64())
}

// hash returns a hash of fields, which may contain any bytes.
func hash(fields ...string) Key {
	d := xxhash.New()
	add(d, fields...)
	return Key(d.Sum64())
}

// add adds fields to a hash so that they do not run into each other.
func add(d *xxhash.Digest, fields ...string) {
	for _, field := range fields {
		_, _ = d.WriteString(strconv.Itoa(len(field)) + ":" + field)
	}
}
