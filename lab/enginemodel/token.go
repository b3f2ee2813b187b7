package enginemodel

import (
	"encoding/binary"
	"strconv"

	"github.com/cespare/xxhash/v2"
)

// PromptHash identifies a prompt.
func PromptHash(prompt string) uint64 { return xxhash.Sum64String(prompt) }

// TokenText returns token i of the answer to the prompt with the hash.
func TokenText(hash uint64, i int) string {
	return "w" + strconv.FormatUint(hash, 16) + "-" + strconv.Itoa(i)
}

// ExpectedToken returns token i of the answer to a prompt, so that a reader can
// check that an answer is whole and belongs to its own request.
func ExpectedToken(prompt string, i int) string { return TokenText(PromptHash(prompt), i) }

// SyntheticBlocks returns block hashes for a prompt of which only the length
// and a shared prefix are known: the blocks inside the prefix depend on shared
// alone, the others on unique as well.
func SyntheticBlocks(model string, shared uint64, sharedTokens int, unique uint64, promptTokens, blockTokens int) []uint64 {
	blocks := make([]uint64, 0, promptTokens/blockTokens)
	previous := xxhash.Sum64String(model)
	var chain [16]byte
	for end := blockTokens; end <= promptTokens; end += blockTokens {
		content := shared
		if end > sharedTokens {
			content = unique
		}
		binary.LittleEndian.PutUint64(chain[:8], previous)
		binary.LittleEndian.PutUint64(chain[8:], content)
		previous = xxhash.Sum64(chain[:])
		blocks = append(blocks, previous)
	}
	return blocks
}
