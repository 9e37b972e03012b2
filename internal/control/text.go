package control

import (
	"context"
	"sync"
	"time"

	"github.com/gravitational/trace"

	"github.com/galenabeam/galenabeam/internal/confsync"
	"github.com/galenabeam/galenabeam/internal/peer"
)

// pieceBytes bounds the piece of a text in one message. In base64 it takes a
// third of rpc.MaxFrameBytes.
const pieceBytes = 1 << 20

// maxCachedTexts is the number of texts that are retained for hosts that pull
// them in pieces, so that a new revision does not interrupt their transfer.
const maxCachedTexts = 2

// PullReply is the answer to config.pull.
type PullReply struct {
	// Answer lacks a text of more than 1 MiB, which the receiver reads
	// with config.text.
	Answer confsync.PullAnswer `json:"answer"`
	// TextBytes is the length of the omitted text, or 0 if none was omitted.
	TextBytes int `json:"text_bytes,omitempty"`
}

// PieceRequest is the request of config.text: the piece of at most 1 MiB
// at Offset, in bytes, of the text that has the checksum.
type PieceRequest struct {
	Checksum confsync.Checksum `json:"digest"`
	Offset   int               `json:"offset"`
}

// textCache holds the texts that hosts pull in pieces, the latest one last. It
// is safe for concurrent use.
type textCache struct {
	mu      sync.Mutex
	entries []cachedText
}

type cachedText struct {
	checksum confsync.Checksum
	text     []byte
}

func (t *textCache) add(checksum confsync.Checksum, text []byte) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, k := range t.entries {
		if k.checksum == checksum {
			return
		}
	}
	t.entries = append(t.entries, cachedText{checksum, text})
	t.entries = t.entries[max(0, len(t.entries)-maxCachedTexts):]
}

func (t *textCache) piece(p PieceRequest) ([]byte, error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, k := range t.entries {
		if k.checksum != p.Checksum {
			continue
		}
		if p.Offset < 0 || p.Offset >= len(k.text) {
			return nil, trace.BadParameter("offset %d is outside the text of %d bytes", p.Offset, len(k.text))
		}
		return k.text[p.Offset:min(p.Offset+pieceBytes, len(k.text))], nil
	}
	return nil, trace.NotFound("the text is not kept any more")
}

// deltaBytes returns the length of the text that a delta inserts.
func deltaBytes(d confsync.Delta) int {
	n := 0
	for _, op := range d {
		n += len(op.Text)
	}
	return n
}

// Pull serves config.pull. It returns an error if the replica does not answer in
// time or this process is shutting down.
func (c *Control) Pull(ctx context.Context, p confsync.Pull) (PullReply, error) {
	a, err := awaitAnswer(ctx, c, c.replica.pulls, func(now time.Duration, call uint64) {
		c.stepReplica(now, confsync.PullReceived{Call: call, Pull: p})
	})
	if err != nil {
		return PullReply{}, err
	}
	out := PullReply{Answer: a}
	if len(a.Text) > pieceBytes {
		c.replica.textCache.add(a.Checksum, a.Text)
		out.Answer.Text, out.TextBytes = nil, len(a.Text)
	}
	return out, nil
}

// ConfigText serves config.text. It returns an error for an offset outside the text,
// and for a text that is not cached.
func (c *Control) ConfigText(_ context.Context, p PieceRequest) ([]byte, error) {
	return c.replica.textCache.piece(p)
}

// pull calls config.pull at a host, and config.text for the pieces of a large
// text.
func (c *Control) pull(ctx context.Context, address string, p confsync.Pull) (confsync.PullAnswer, error) {
	var got PullReply
	if err := c.Peers.Call(ctx, address, peer.MethodPull, p, &got); err != nil || got.TextBytes == 0 {
		return got.Answer, err
	}
	if got.TextBytes > confsync.MaxStoredTextBytes {
		return got.Answer, trace.BadParameter("text of %d bytes exceeds the size limit", got.TextBytes)
	}
	for len(got.Answer.Text) < got.TextBytes {
		var part []byte
		piece := PieceRequest{Checksum: got.Answer.Checksum, Offset: len(got.Answer.Text)}
		if err := c.Peers.Call(ctx, address, peer.MethodText, piece, &part); err != nil {
			return got.Answer, err
		}
		if len(part) == 0 {
			return got.Answer, trace.BadParameter("peer sent an empty piece before the end of the text")
		}
		got.Answer.Text = append(got.Answer.Text, part...)
	}
	return got.Answer, nil
}
