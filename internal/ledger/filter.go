package ledger

import "encoding/binary"

// filter is a Bloom filter over identities. It has no false negatives. After a
// false positive, a request that never ran is refused, reported as unknown or, if
// idempotent, run without a record.
type filter struct {
	bits  []uint64
	added int
}

const (
	// filterBitsPerRecord is the size of the filter in bits per record of the
	// ledger's capacity. With as many identities as records, about 0.25% of
	// lookups are false positives.
	filterBitsPerRecord = 16
	// filterProbes is the number of bits set for each identity.
	filterProbes = 4
)

func newFilter(records int) filter {
	words := 1
	for words*64 < records*filterBitsPerRecord {
		words *= 2
	}
	return filter{bits: make([]uint64, words)}
}

// eachBit calls fn for each bit of id until fn returns false and reports whether
// all calls returned true. The random part of an identity is uniform, so its halves
// are the two hashes of double hashing.
func (f *filter) eachBit(id ID, fn func(word *uint64, mask uint64) bool) bool {
	a := binary.LittleEndian.Uint64(id.Random[:8])
	b := binary.LittleEndian.Uint64(id.Random[8:]) | 1
	size := uint64(len(f.bits)) * 64
	for i := uint64(0); i < filterProbes; i++ {
		bit := (a + i*b) % size
		if !fn(&f.bits[bit/64], 1<<(bit%64)) {
			return false
		}
	}
	return true
}

func (f *filter) add(id ID) {
	f.added++
	f.eachBit(id, func(word *uint64, mask uint64) bool { *word |= mask; return true })
}

func (f *filter) mayContain(id ID) bool {
	return f.added > 0 && f.eachBit(id, func(word *uint64, mask uint64) bool { return *word&mask != 0 })
}
