package docsync

import (
	"crypto/sha256"
	"math/bits"
)

const (
	// minChunkBytes and maxChunkBytes limit the size of a chunk, except that the last
	// one may be shorter.
	minChunkBytes = 2 << 10
	maxChunkBytes = 32 << 10
	// boundaryBits gives boundaries a mean distance of 8 KB beyond minChunkBytes.
	// Smaller chunks compress worse, larger ones make small changes expensive.
	boundaryBits = 13
	// boundaryMask selects the highest bits of the hash, which depend on the last 64
	// bytes.
	boundaryMask = (uint64(1)<<boundaryBits - 1) << (64 - boundaryBits)
)

// ID identifies the content of a chunk.
type ID [16]byte

// chunkID returns the ID of a chunk.
func chunkID(chunk []byte) ID {
	sum := sha256.Sum256(chunk)
	return ID(sum[:len(ID{})])
}

// hashTable holds a fixed pseudo-random number for each byte value. All daemons must
// have the same numbers, or versions of a document would share no chunks.
var hashTable = newHashTable()

func newHashTable() (table [256]uint64) {
	// A 64-bit mix of the index (splitmix64).
	for i := range table {
		x := uint64(i+1) * 0x9e3779b97f4a7c15
		x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
		x = (x ^ x>>27) * 0x94d049bb133111eb
		table[i] = bits.RotateLeft64(x^x>>31, 17)
	}
	return table
}

// split cuts a document into chunks that share its memory. A boundary depends on the
// 64 bytes before it alone.
func split(document []byte) [][]byte {
	var chunks [][]byte
	for len(document) > 0 {
		end := chunkEnd(document)
		chunks = append(chunks, document[:end:end])
		document = document[end:]
	}
	return chunks
}

// chunkEnd returns the length of the first chunk.
func chunkEnd(data []byte) int {
	limit := min(len(data), maxChunkBytes)
	hash := uint64(0)
	for i := range limit {
		hash = hash<<1 + hashTable[data[i]]
		if i >= minChunkBytes && hash&boundaryMask == 0 {
			return i + 1
		}
	}
	return limit
}
