package enginefaker

import (
	"encoding/binary"
	"fmt"

	"github.com/cespare/xxhash/v2"
)

// Token returns the token at a position of the answer. It depends on its arguments only.
func Token(model, version, adapter string, prompt []byte, position uint64) []byte {
	d := xxhash.New()
	_, _ = d.WriteString(model + "\x00" + version + "\x00" + adapter + "\x00")
	_, _ = d.Write(prompt)
	_, _ = d.Write(binary.BigEndian.AppendUint64(nil, position))
	return fmt.Appendf(nil, "%08x ", uint32(d.Sum64()))
}

// Answer returns the tokens from position start up to, but not including, end, as every chain of engines must return them.
func Answer(model, version, adapter string, prompt []byte, start, end uint64) [][]byte {
	var tokens [][]byte
	for p := start; p < end; p++ {
		tokens = append(tokens, Token(model, version, adapter, prompt, p))
	}
	return tokens
}
