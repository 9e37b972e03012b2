package rpc

import (
	"bufio"
	"bytes"
	"encoding/binary"
	"encoding/json"
	"errors"
	"io"
	"log"
	"net"
	"time"

	"github.com/sourcegraph/jsonrpc2"
)

// MaxFrameBytes bounds the JSON text of a received message, the content of a
// frame. A longer one ends the connection.
const MaxFrameBytes = 4 << 20

// maxPreallocatedBytes bounds the memory allocated for the announced length of a
// frame before its content arrives.
const maxPreallocatedBytes = 64 << 10

// errFrameTooLarge ends a connection on which a frame above MaxFrameBytes is
// announced.
var errFrameTooLarge = errors.New("rpc: message too large")

// boundedCodec prefixes messages with their length as a varint. It refuses to read
// a message above MaxFrameBytes.
type boundedCodec struct{ jsonrpc2.VarintObjectCodec }

// ReadObject implements jsonrpc2.ObjectCodec.
func (boundedCodec) ReadObject(stream *bufio.Reader, v any) error {
	n, err := binary.ReadUvarint(stream)
	if err != nil {
		return err
	}
	if n > MaxFrameBytes {
		return errFrameTooLarge
	}
	frame, err := readFrame(stream, int(n))
	if err != nil {
		return err
	}
	return json.Unmarshal(frame, v)
}

// readFrame reads n bytes. The buffer for a large frame grows as content arrives,
// so that a peer cannot claim memory by announcing a length.
func readFrame(stream io.Reader, n int) ([]byte, error) {
	if n <= maxPreallocatedBytes {
		frame := make([]byte, n)
		_, err := io.ReadFull(stream, frame)
		return frame, err
	}
	var frame bytes.Buffer
	frame.Grow(maxPreallocatedBytes)
	if _, err := io.CopyN(&frame, stream, int64(n)); err != nil {
		return nil, err
	}
	return frame.Bytes(), nil
}

// timedConn ends a connection on which nothing arrives for maxReadWait (zero means
// no limit) or a write is not accepted within maxWriteWait.
type timedConn struct {
	net.Conn
	maxReadWait, maxWriteWait time.Duration
	// received is called whenever data has arrived, unless it is nil.
	received func()
}

// writeTimeout bounds one write to a peer.
const writeTimeout = 5 * time.Second

func (c timedConn) Read(p []byte) (int, error) {
	if c.maxReadWait > 0 {
		if err := c.SetReadDeadline(time.Now().Add(c.maxReadWait)); err != nil {
			return 0, err
		}
	}
	n, err := c.Conn.Read(p)
	if n > 0 && c.received != nil {
		c.received()
	}
	return n, err
}

// Write closes the connection after an error: the peer could not decode anything
// that follows a partly sent frame.
func (c timedConn) Write(p []byte) (int, error) {
	if err := c.SetWriteDeadline(time.Now().Add(c.maxWriteWait)); err != nil {
		return 0, err
	}
	n, err := c.Conn.Write(p)
	if err != nil {
		_ = c.Close()
	}
	return n, err
}

func newStream(c net.Conn, maxReadWait time.Duration, received func()) jsonrpc2.ObjectStream {
	return jsonrpc2.NewBufferedStream(timedConn{Conn: c, maxReadWait: maxReadWait, maxWriteWait: writeTimeout, received: received}, boundedCodec{})
}

// discardLog keeps the library from writing to the standard logger: broken
// connections are normal, and a call that one interrupts returns an error.
func discardLog() jsonrpc2.ConnOpt { return jsonrpc2.SetLogger(log.New(io.Discard, "", 0)) }
