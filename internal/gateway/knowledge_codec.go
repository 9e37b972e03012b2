package gateway

import (
	"bytes"
	"compress/flate"
	"encoding/json"
	"errors"
	"fmt"
	"io"

	"github.com/galenabeam/galenabeam/internal/dispatch"
)

// maxKnowledgeBytes bounds the uncompressed knowledge of a pool: some hundred bytes for
// each of 10,000 servers.
const maxKnowledgeBytes = 16 << 20

// errKnowledgeSize reports saved knowledge that exceeds maxKnowledgeBytes.
var errKnowledgeSize = errors.New("saved knowledge exceeds the limit")

// encodeKnowledge returns the knowledge as JSON compressed by DEFLATE. The object keys of
// different servers repeat, so the result is a fraction of the JSON, and saveRate allows a
// save that much more often.
func encodeKnowledge(k dispatch.Knowledge) ([]byte, error) {
	raw, err := json.Marshal(k)
	if err != nil {
		return nil, err
	}
	var b bytes.Buffer
	w, err := flate.NewWriter(&b, flate.BestSpeed)
	if err != nil {
		return nil, err
	}
	if _, err := w.Write(raw); err != nil {
		return nil, err
	}
	if err := w.Close(); err != nil {
		return nil, err
	}
	return b.Bytes(), nil
}

// decodeKnowledge decodes the result of encodeKnowledge. It also accepts plain JSON, as
// hosts of an earlier release save it.
func decodeKnowledge(raw []byte) (dispatch.Knowledge, error) {
	var k dispatch.Knowledge
	if len(raw) > 0 && raw[0] != '{' {
		unpacked, err := io.ReadAll(io.LimitReader(flate.NewReader(bytes.NewReader(raw)), maxKnowledgeBytes+1))
		if err != nil {
			return k, fmt.Errorf("uncompress: %w", err)
		}
		if len(unpacked) > maxKnowledgeBytes {
			return k, errKnowledgeSize
		}
		raw = unpacked
	}
	err := json.Unmarshal(raw, &k)
	return k, err
}
