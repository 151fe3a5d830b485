package engineer

import "github.com/cespare/xxhash/v2"

// PrefixBlockBytes is the length of the prompt blocks that prefix caches hash.
const PrefixBlockBytes = 256

// MaxPrefixBlocks is the maximum number of leading blocks of a prompt that are hashed.
const MaxPrefixBlocks = 32

// PromptBytesPerToken converts the length of a prompt to tokens.
const PromptBytesPerToken = 4

// Prefixes returns the hashes of the prefixes of a prompt that consist of whole blocks, for a model version and adapter,
// shortest first.
func Prefixes(model, version, adapter string, prompt []byte) []uint64 {
	blocks := min(len(prompt)/PrefixBlockBytes, MaxPrefixBlocks)
	if blocks == 0 {
		return nil
	}
	hashes := make([]uint64, blocks)
	d := xxhash.New()
	_, _ = d.WriteString(model + "\x00" + version + "\x00" + adapter + "\x00")
	for i := range hashes {
		_, _ = d.Write(prompt[i*PrefixBlockBytes : (i+1)*PrefixBlockBytes])
		hashes[i] = d.Sum64()
	}
	return hashes
}

// PromptTokens returns the estimated number of tokens of a prompt of n bytes.
func PromptTokens(n int) int { return n/PromptBytesPerToken + 1 }
