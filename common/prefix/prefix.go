// Package prefix hashes the prefixes of prompts, so that a router can find the engine
// whose prefix cache holds most of a prompt.
//
// A prompt is split into blocks of equal length. The hash of a block also covers all
// blocks before it, so that equal hashes mean equal prefixes.
//
// # Usage
//
//	hashes := prefix.BlockHashes(prompt, 16)
//	n := prefix.CachedBlocks(hashes, func(h uint64) bool { return cached[h] })
package prefix

import (
	"encoding/binary"

	"github.com/cespare/xxhash/v2"
)

// BytesPerToken is the assumed number of bytes of text per token.
const BytesPerToken = 4

// EstimateTokens returns the estimated number of tokens of text, at least 1.
func EstimateTokens(text string) int { return max(1, (len(text)+BytesPerToken-1)/BytesPerToken) }

// BlockHashes returns the hash of each complete block of blockTokens tokens.
func BlockHashes(text string, blockTokens int) []uint64 {
	size := blockTokens * BytesPerToken
	hashes := make([]uint64, 0, len(text)/size)
	digest := xxhash.New()
	var previous [8]byte
	for start := 0; start+size <= len(text); start += size {
		digest.Reset()
		_, _ = digest.Write(previous[:])
		_, _ = digest.WriteString(text[start : start+size])
		sum := digest.Sum64()
		hashes = append(hashes, sum)
		binary.LittleEndian.PutUint64(previous[:], sum)
	}
	return hashes
}

// CachedBlocks returns the number of leading hashes for which cached returns true.
func CachedBlocks(hashes []uint64, cached func(uint64) bool) int {
	for i, h := range hashes {
		if !cached(h) {
			return i
		}
	}
	return len(hashes)
}
