package ledger

import "encoding/binary"

// filter is a Bloom filter over identities. It never forgets an identity. A
// false positive only refuses a request that was never run.
type filter struct {
	bits  []uint64
	added int
}

const (
	filterBitsPerRecord = 16 // about 0.25% false positives when as many identities as records were added
	filterProbes        = 4
)

func newFilter(records int) filter {
	words := 1
	for words*64 < records*filterBitsPerRecord {
		words *= 2
	}
	return filter{bits: make([]uint64, words)}
}

// probe calls fn for each bit of id until fn returns false. The random part
// of an identity is uniform, so that its halves serve as two hash values.
func (f *filter) probe(id ID, fn func(word *uint64, mask uint64) bool) bool {
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
	f.probe(id, func(word *uint64, mask uint64) bool { *word |= mask; return true })
}

func (f *filter) has(id ID) bool {
	return f.added > 0 && f.probe(id, func(word *uint64, mask uint64) bool { return *word&mask != 0 })
}
