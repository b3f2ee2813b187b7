// Package prefix hashes the leading blocks of a prompt, so that the proxy and the engines
// refer to cached prompt prefixes by the same identifiers.
package prefix

import (
	"encoding/binary"
	"strings"

	"github.com/cespare/xxhash/v2"

	"github.com/landingtrail/landingtrail/connection/engineapi"
)

// BlockWords is the number of words in one block. It must equal the block size of the engines'
// prefix caches, in tokens. A shorter trailing block has no hash, since caches hold whole blocks
// only.
const BlockWords = 16

// Text returns the prompt of a request as an engine reads it: Prompt, or the contents of the
// messages joined by newlines. Message roles are not part of the prompt.
func Text(request *engineapi.CompletionRequest) string {
	if len(request.Messages) == 0 {
		return request.Prompt
	}
	contents := make([]string, len(request.Messages))
	for i := range request.Messages {
		contents[i] = request.Messages[i].Content
	}
	return strings.Join(contents, "\n")
}

// Words returns the words of a prompt. Token counts are word counts: one word is one token.
func Words(prompt string) []string { return strings.Fields(prompt) }

// Blocks returns the hashes of all whole blocks of the words, in order. The hash of block k is
// the 64-bit xxhash of the hash of block k-1, as 8 little-endian bytes, followed by the words
// of the block, each followed by one space. In place of a previous hash, block 0 uses the xxhash
// of the model name as the caller gave it, including the adapter, since the KV cache of one
// adapter cannot be used for another. Except for collisions, equal hashes mean equal prompts up
// to the end of the block; a collision can only make a cache hint wrong.
func Blocks(model string, words []string) []uint64 {
	count := len(words) / BlockWords
	if count == 0 {
		return nil
	}
	blocks := make([]uint64, count)
	previous := xxhash.Sum64String(model)
	buffer := make([]byte, 0, 8+BlockWords*8)
	for i := range blocks {
		buffer = binary.LittleEndian.AppendUint64(buffer[:0], previous)
		for _, word := range words[i*BlockWords : (i+1)*BlockWords] {
			buffer = append(buffer, word...)
			buffer = append(buffer, ' ')
		}
		previous = xxhash.Sum64(buffer)
		blocks[i] = previous
	}
	return blocks
}
