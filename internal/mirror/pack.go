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
	// minPackedItems is the number of items from which an answer is compressed, and
	// minPackedBytes the size of their values.
	minPackedItems = 16
	minPackedBytes = 16 << 10
	// maxUnpackedBytes bounds the uncompressed JSON of an answer's items.
	maxUnpackedBytes = 64 << 20
)

// errTooLarge reports an answer of more than maxUnpackedBytes, which exceeds any
// deployment.
var errTooLarge = errors.New("items exceed the limit of an answer")

// Answer is the result of MethodFetch. Large batches are compressed: entries of
// backend servers, and routes of a configuration, are similar to each other and every
// host fetches them.
type Answer struct {
	Batch
	// Packed holds the items as JSON compressed by DEFLATE.
	Packed []byte `json:"packed,omitempty"`
}

// unpack returns the batch with its items decompressed, or errTooLarge.
func (a *Answer) unpack() (Batch, error) {
	if a.Packed == nil {
		return a.Batch, nil
	}
	raw, err := io.ReadAll(io.LimitReader(flate.NewReader(bytes.NewReader(a.Packed)), maxUnpackedBytes+1))
	if err != nil {
		return Batch{}, fmt.Errorf("unpack items: %w", err)
	}
	if len(raw) > maxUnpackedBytes {
		return Batch{}, errTooLarge
	}
	b := a.Batch
	if err := json.Unmarshal(raw, &b.Items); err != nil {
		return Batch{}, fmt.Errorf("unpack items: %w", err)
	}
	return b, nil
}

// sharedAnswer is the answer to all fetches after one revision. The first of them
// compresses it.
type sharedAnswer struct {
	batch Batch
	once  sync.Once
	bytes []byte
	err   error
}

func (p *sharedAnswer) answer() (Answer, error) {
	if !isLarge(p.batch.Items) {
		return Answer{Batch: p.batch}, nil
	}
	p.once.Do(func() { p.bytes, p.err = pack(p.batch.Items) })
	a := Answer{Batch: p.batch, Packed: p.bytes}
	a.Items = nil
	return a, p.err
}

// isLarge reports whether an answer with these items is compressed.
func isLarge(list []Item) bool {
	size := 0
	for _, i := range list {
		size += len(i.Value)
	}
	return len(list) >= minPackedItems || size >= minPackedBytes
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
