package control

import (
	"math"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/galenabeam/galenabeam/internal/confsync"
	"github.com/galenabeam/galenabeam/internal/host"
	"github.com/galenabeam/galenabeam/internal/lease"
	"github.com/galenabeam/galenabeam/internal/peer"
)

// TestUnreportedSlots guards against a new owner that grants slots which an
// unresponsive process may still use, and against one that reserves the whole
// pool although other hosts have recorded how much is in use.
func TestUnreportedSlots(t *testing.T) {
	owner, entryHost := lease.Ref{ID: "a", Incarnation: 1}, lease.Ref{ID: "b", Incarnation: 2}
	recorded := map[host.Incarnation]peer.UsageRecord{1: {Holder: 1, Ceilings: []peer.Ceiling{{Server: "s1", Slots: 2}}}}
	granted := map[peer.GrantKey]grantedSlot{
		{Edge: 2, Sequence: 1}: {server: "s1", until: 9 * time.Second},
		{Edge: 2, Sequence: 2}: {server: "s1", until: time.Second},
		{Edge: 2, Sequence: 3}: {server: "s2", until: 9 * time.Second},
	}
	cases := []struct {
		desc          string
		previousOwner lease.Ref
		awaited       []lease.Ref
		records       map[host.Incarnation]peer.UsageRecord
		want          int
	}{
		{"the previous owner is unknown", lease.Ref{}, []lease.Ref{entryHost}, recorded, math.MaxInt},
		{"the previous owner ended, its own use was recorded", owner, []lease.Ref{owner}, recorded, 2},
		{"the previous owner ended without a record", owner, []lease.Ref{owner}, nil, math.MaxInt},
		{"the previous owner and an entry host ended", owner, []lease.Ref{owner, entryHost}, recorded, math.MaxInt},
		{"an entry host ended, the previous owner reported its grants", owner, []lease.Ref{entryHost}, nil, 1},
		{"no process is awaited", owner, nil, recorded, 0},
	}
	for _, c := range cases {
		t.Run(c.desc, func(t *testing.T) {
			pending := &takeover{previousOwner: c.previousOwner, usageRecords: c.records, granted: granted, awaited: map[lease.Ref]time.Duration{}}
			for _, ref := range c.awaited {
				pending.awaited[ref] = 10 * time.Second
			}
			NewWithT(t).Expect((&Control{}).unreportedSlots(2*time.Second, pending, "s1")).To(Equal(c.want))
		})
	}
}

// TestTextPieces guards against a text that differs after its transfer in
// pieces, and against a panic when a peer sends an offset outside the text.
func TestTextPieces(t *testing.T) {
	g := NewWithT(t)
	text := make([]byte, 2*pieceBytes+17)
	for i := range text {
		text[i] = byte(i % 251)
	}
	var cache textCache
	checksum := confsync.ChecksumOf(text)
	cache.add(checksum, text)
	var got []byte
	for len(got) < len(text) {
		part, err := cache.piece(PieceRequest{Checksum: checksum, Offset: len(got)})
		g.Expect(err).NotTo(HaveOccurred())
		got = append(got, part...)
	}
	g.Expect(confsync.ChecksumOf(got)).To(Equal(checksum))
	for _, offset := range []int{-1, len(text), math.MaxInt} {
		_, err := cache.piece(PieceRequest{Checksum: checksum, Offset: offset})
		g.Expect(err).To(HaveOccurred(), "offset %d", offset)
	}
	for _, other := range []confsync.Checksum{"1", "2"} {
		cache.add(other, []byte("x"))
	}
	_, err := cache.piece(PieceRequest{Checksum: checksum})
	g.Expect(err).To(HaveOccurred(), "only the latest texts are kept")
}
