package enginemodel

import (
	"encoding/binary"
	"strconv"
	"strings"

	"github.com/cespare/xxhash/v2"

	"github.com/landingtrail/landingtrail/connection/engineapi"
)

// PromptText returns the prompt of a request: Prompt, or the contents of the
// messages, one a line.
func PromptText(request *engineapi.CompletionRequest) string {
	if len(request.Messages) == 0 {
		return request.Prompt
	}
	contents := make([]string, len(request.Messages))
	for i, message := range request.Messages {
		contents[i] = message.Content
	}
	return strings.Join(contents, "\n")
}

// CountTokens returns the number of tokens of a text: one word is one token.
func CountTokens(text string) int { return len(strings.Fields(text)) }

// PromptHash identifies a prompt.
func PromptHash(prompt string) uint64 { return xxhash.Sum64String(prompt) }

// TokenText returns token i of the answer to the prompt with the hash.
func TokenText(hash uint64, i int) string {
	return "w" + strconv.FormatUint(hash, 16) + "-" + strconv.Itoa(i)
}

// ExpectedToken returns token i of the answer to a prompt, so that a reader can
// check that an answer is whole and belongs to its own request.
func ExpectedToken(prompt string, i int) string { return TokenText(PromptHash(prompt), i) }

// PromptBlocks returns the hashes of a prompt's full prefix blocks. Block k is
// the 64-bit xxhash of block k-1's hash, as 8 little-endian bytes, followed by
// the block's words, each followed by one space; the hash before block 0 is the
// xxhash of the model's name as the caller gave it (model or model:adapter),
// because KV cache of one adapter is of no use to another.
func PromptBlocks(model, prompt string, blockTokens int) []uint64 {
	words := strings.Fields(prompt)
	blocks := make([]uint64, 0, len(words)/blockTokens)
	previous := xxhash.Sum64String(model)
	digest := xxhash.New()
	var chain [8]byte
	for end := blockTokens; end <= len(words); end += blockTokens {
		digest.Reset()
		binary.LittleEndian.PutUint64(chain[:], previous)
		_, _ = digest.Write(chain[:]) // a digest's Write never fails
		for _, word := range words[end-blockTokens : end] {
			_, _ = digest.WriteString(word)
			_, _ = digest.WriteString(" ")
		}
		previous = digest.Sum64()
		blocks = append(blocks, previous)
	}
	return blocks
}

// SyntheticBlocks returns block hashes for a prompt of which only the length
// and the shared prefix are known: the blocks inside the prefix depend on the
// prefix alone, the others on unique as well.
func SyntheticBlocks(model string, prefix uint64, prefixTokens int, unique uint64, promptTokens, blockTokens int) []uint64 {
	blocks := make([]uint64, 0, promptTokens/blockTokens)
	previous := xxhash.Sum64String(model)
	var chain [16]byte
	for end := blockTokens; end <= promptTokens; end += blockTokens {
		content := prefix
		if end > prefixTokens {
			content = unique
		}
		binary.LittleEndian.PutUint64(chain[:8], previous)
		binary.LittleEndian.PutUint64(chain[8:], content)
		previous = xxhash.Sum64(chain[:])
		blocks = append(blocks, previous)
	}
	return blocks
}
