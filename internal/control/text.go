package control

import (
	"context"
	"sync"
	"time"

	"github.com/gravitational/trace"

	"github.com/galenabeam/galenabeam/internal/confsync"
	"github.com/galenabeam/galenabeam/internal/peer"
)

// pieceBytes bounds the part of a text in one message. With its encoding it
// stays far below the largest frame of the protocol.
const pieceBytes = 1 << 20

// keptTexts is the number of texts that are kept for hosts that pull them in
// pieces, so that a new revision does not end their transfer.
const keptTexts = 2

// Pulled is the answer to config.pull. A large text is left out; the receiver
// reads its TextBytes bytes with config.text.
type Pulled struct {
	Answer    confsync.PullAnswer `json:"answer"`
	TextBytes int                 `json:"text_bytes,omitempty"`
}

// Piece asks for a part of a text.
type Piece struct {
	Digest confsync.Digest `json:"digest"`
	Offset int             `json:"offset"`
}

// texts keeps the texts that hosts pull in pieces, the latest one last.
type texts struct {
	mu   sync.Mutex
	kept []keptText
}

type keptText struct {
	digest confsync.Digest
	text   []byte
}

func (t *texts) keep(digest confsync.Digest, text []byte) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, k := range t.kept {
		if k.digest == digest {
			return
		}
	}
	t.kept = append(t.kept, keptText{digest, text})
	t.kept = t.kept[max(0, len(t.kept)-keptTexts):]
}

func (t *texts) piece(p Piece) ([]byte, error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, k := range t.kept {
		if k.digest != p.Digest {
			continue
		}
		if p.Offset < 0 || p.Offset >= len(k.text) {
			return nil, trace.BadParameter("offset %d is outside the text of %d bytes", p.Offset, len(k.text))
		}
		return k.text[p.Offset:min(p.Offset+pieceBytes, len(k.text))], nil
	}
	return nil, trace.NotFound("the text is not kept any more")
}

// deltaBytes returns the size of the text in a delta.
func deltaBytes(d confsync.Delta) int {
	n := 0
	for _, op := range d {
		n += len(op.Text)
	}
	return n
}

// Pull serves config.pull.
func (c *Control) Pull(ctx context.Context, p confsync.Pull) (Pulled, error) {
	a, err := ask(ctx, c, c.replica.pulls, func(now time.Duration, call uint64) {
		c.stepReplica(now, confsync.PullReceived{Call: call, Pull: p})
	})
	if err != nil {
		return Pulled{}, err
	}
	out := Pulled{Answer: a}
	if len(a.Text) > pieceBytes {
		c.replica.texts.keep(a.Digest, a.Text)
		out.Answer.Text, out.TextBytes = nil, len(a.Text)
	}
	return out, nil
}

// Text serves config.text.
func (c *Control) Text(_ context.Context, p Piece) ([]byte, error) { return c.replica.texts.piece(p) }

// pull calls config.pull at a host and reads a large text piece by piece.
func (c *Control) pull(ctx context.Context, address string, p confsync.Pull) (confsync.PullAnswer, error) {
	var got Pulled
	if err := c.Peers.Call(ctx, address, peer.MethodPull, p, &got); err != nil || got.TextBytes == 0 {
		return got.Answer, err
	}
	if got.TextBytes > confsync.MaxTextBytes {
		return got.Answer, trace.BadParameter("a text of %d bytes is larger than allowed", got.TextBytes)
	}
	for len(got.Answer.Text) < got.TextBytes {
		var part []byte
		piece := Piece{Digest: got.Answer.Digest, Offset: len(got.Answer.Text)}
		if err := c.Peers.Call(ctx, address, peer.MethodText, piece, &part); err != nil {
			return got.Answer, err
		}
		if len(part) == 0 {
			return got.Answer, trace.BadParameter("the text ended early")
		}
		got.Answer.Text = append(got.Answer.Text, part...)
	}
	return got.Answer, nil
}
