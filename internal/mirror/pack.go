package mirror

import (
	"bytes"
	"compress/flate"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"sync"
)

const (
	// packLeast is the number of items from which an answer is compressed.
	packLeast = 16
	// maxUnpacked bounds the bytes of an answer's items.
	maxUnpacked = 64 << 20
)

// errTooLarge tells that an answer unpacks to more than any deployment has.
var errTooLarge = errors.New("items exceed the limit of an answer")

// Answer is the answer to a fetch. Its items are compressed if they are many:
// entries of backend servers are alike, and every host gets them.
type Answer struct {
	Batch
	// Packed holds the items as JSON compressed by DEFLATE.
	Packed []byte `json:"packed,omitempty"`
}

// unpack returns the batch with its items.
func (a *Answer) unpack() (Batch, error) {
	if a.Packed == nil {
		return a.Batch, nil
	}
	raw, err := io.ReadAll(io.LimitReader(flate.NewReader(bytes.NewReader(a.Packed)), maxUnpacked+1))
	if err != nil {
		return Batch{}, fmt.Errorf("unpack items: %w", err)
	}
	if len(raw) > maxUnpacked {
		return Batch{}, errTooLarge
	}
	b := a.Batch
	if err := json.Unmarshal(raw, &b.Items); err != nil {
		return Batch{}, fmt.Errorf("unpack items: %w", err)
	}
	return b, nil
}

// prepared is the answer to all hosts that ask for the changes after the same
// revision. It is packed once, by the first of them.
type prepared struct {
	batch Batch
	once  sync.Once
	bytes []byte
	err   error
}

func (p *prepared) answer() (Answer, error) {
	if len(p.batch.Items) < packLeast {
		return Answer{Batch: p.batch}, nil
	}
	p.once.Do(func() { p.bytes, p.err = pack(p.batch.Items) })
	a := Answer{Batch: p.batch, Packed: p.bytes}
	a.Items = nil
	return a, p.err
}

func pack(list []Item) ([]byte, error) {
	var b bytes.Buffer
	w, err := flate.NewWriter(&b, flate.BestSpeed)
	if err != nil {
		return nil, err
	}
	if err := json.NewEncoder(w).Encode(list); err != nil {
		return nil, err
	}
	if err := w.Close(); err != nil {
		return nil, err
	}
	return b.Bytes(), nil
}
