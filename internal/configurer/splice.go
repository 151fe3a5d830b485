package configurer

import (
	"bytes"
	"compress/flate"
	"io"

	"github.com/cockroachdb/errors"
)

// Splice rebuilds a text from a base that differs from it in one contiguous part.
type Splice struct {
	// Prefix and Suffix are the numbers of bytes of the base that are kept at its start and end.
	Prefix int
	Suffix int
	// Middle replaces the bytes between them.
	Middle []byte
}

// NewSplice returns the splice that makes text from base.
func NewSplice(base, text []byte) Splice {
	limit := min(len(base), len(text))
	prefix := 0
	for prefix < limit && base[prefix] == text[prefix] {
		prefix++
	}
	suffix := 0
	for suffix < limit-prefix && base[len(base)-1-suffix] == text[len(text)-1-suffix] {
		suffix++
	}
	return Splice{Prefix: prefix, Suffix: suffix, Middle: bytes.Clone(text[prefix : len(text)-suffix])}
}

// Apply returns the text that the splice makes from base, or an error if base is too short.
func (s Splice) Apply(base []byte) ([]byte, error) {
	if s.Prefix < 0 || s.Suffix < 0 || s.Prefix+s.Suffix > len(base) {
		return nil, errors.Newf("splice keeps %d and %d bytes of %d", s.Prefix, s.Suffix, len(base))
	}
	text := make([]byte, 0, s.Prefix+len(s.Middle)+s.Suffix)
	text = append(text, base[:s.Prefix]...)
	text = append(text, s.Middle...)
	return append(text, base[len(base)-s.Suffix:]...), nil
}

// maxInflatedBytes bounds the size of an inflated text.
const maxInflatedBytes = 4 << 20

func deflate(b []byte) []byte {
	if len(b) == 0 {
		return nil
	}
	var out bytes.Buffer
	w, err := flate.NewWriter(&out, flate.DefaultCompression)
	if err != nil {
		panic(err)
	}
	_, _ = w.Write(b)
	_ = w.Close()
	return out.Bytes()
}

func inflate(b []byte) ([]byte, error) {
	if len(b) == 0 {
		return nil, nil
	}
	out, err := io.ReadAll(io.LimitReader(flate.NewReader(bytes.NewReader(b)), maxInflatedBytes+1))
	if err != nil {
		return nil, errors.Wrap(err, "decompress splice text")
	}
	if len(out) > maxInflatedBytes {
		return nil, errors.Newf("inflated text is over %d bytes", maxInflatedBytes)
	}
	return out, nil
}
