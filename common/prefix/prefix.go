// Package prefix names the beginnings of prompts, so that a router can tell
// which engine's cache holds them.
//
// A prompt is cut into pieces of equal length; the hash of a piece covers all
// pieces before it, so equal hashes mean equal beginnings.
//
// # Usage
//
//	hashes := prefix.Hashes(prompt, 16)
//	n := prefix.Common(hashes, func(h uint64) bool { return cached[h] })
package prefix

import (
	"encoding/binary"

	"github.com/cespare/xxhash/v2"
)

// BytesPerToken is the estimate by which text is turned into tokens.
const BytesPerToken = 4

// EstimateTokens estimates the number of tokens of a text, at least 1.
func EstimateTokens(text string) int { return max(1, (len(text)+BytesPerToken-1)/BytesPerToken) }

// BlockHashes returns one hash for each whole piece of pieceTokens tokens.
func BlockHashes(text string, pieceTokens int) []uint64 {
	size := pieceTokens * BytesPerToken
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

// CachedBlocks counts the leading hashes for which cached holds.
func CachedBlocks(hashes []uint64, cached func(uint64) bool) int {
	for i, h := range hashes {
		if !cached(h) {
			return i
		}
	}
	return len(hashes)
}
