// Package prefix names the leading blocks of a prompt, so that the proxy and
// the engines mean the same blocks when they speak of cached prompts.
package prefix

import (
	"encoding/binary"
	"strings"

	"github.com/cespare/xxhash/v2"

	"github.com/landingtrail/landingtrail/connection/engineapi"
)

// BlockWords is the number of words in one block. A trailing part that is
// shorter has no hash: caches hold whole blocks only.
const BlockWords = 16

// Words returns the prompt's words in the order in which an engine reads them:
// the prompt first, then the messages one after the other. One word is one
// token. Roles of messages are no part of the prompt.
func Words(request *engineapi.CompletionRequest) []string {
	words := strings.Fields(request.Prompt)
	for i := range request.Messages {
		words = append(words, strings.Fields(request.Messages[i].Content)...)
	}
	return words
}

// Blocks returns the hash of every whole block of the words, first block
// first. Each hash covers the hash before it and the block's words joined by
// spaces, so that equal hashes mean equal prompts up to the block's end (but
// for collisions of 64 bits, which can only make a cache hint wrong).
func Blocks(words []string) []uint64 {
	count := len(words) / BlockWords
	if count == 0 {
		return nil
	}
	blocks := make([]uint64, count)
	previous := uint64(0)
	buffer := make([]byte, 0, 8+BlockWords*8)
	for i := range blocks {
		buffer = binary.LittleEndian.AppendUint64(buffer[:0], previous)
		buffer = appendWords(buffer, words[i*BlockWords:(i+1)*BlockWords])
		previous = xxhash.Sum64(buffer)
		blocks[i] = previous
	}
	return blocks
}

func appendWords(buffer []byte, words []string) []byte {
	for i, word := range words {
		if i > 0 {
			buffer = append(buffer, ' ')
		}
		buffer = append(buffer, word...)
	}
	return buffer
}
