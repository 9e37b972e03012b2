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

// MaxFrameBytes bounds one message. A larger one ends the connection.
const MaxFrameBytes = 4 << 20

// trustedBytes is the memory that the announced length of a frame may take
// before its content arrives.
const trustedBytes = 64 << 10

// errFrameTooLarge ends a connection that announces a frame above MaxFrameBytes.
var errFrameTooLarge = errors.New("rpc: frame too large")

// boundedCodec frames messages by a varint length and refuses long ones before
// it reads them.
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

// readFrame reads n bytes. The memory for a large frame grows with what has
// arrived, so that an announcement alone takes none.
func readFrame(stream io.Reader, n int) ([]byte, error) {
	if n <= trustedBytes {
		frame := make([]byte, n)
		_, err := io.ReadFull(stream, frame)
		return frame, err
	}
	var frame bytes.Buffer
	frame.Grow(trustedBytes)
	if _, err := io.CopyN(&frame, stream, int64(n)); err != nil {
		return nil, err
	}
	return frame.Bytes(), nil
}

// timedConn ends a connection that stays silent, or that does not take what is
// written to it.
type timedConn struct {
	net.Conn
	idle, write time.Duration
}

// writeTimeout bounds one write to a peer.
const writeTimeout = 5 * time.Second

func (c timedConn) Read(p []byte) (int, error) {
	if c.idle > 0 {
		if err := c.SetReadDeadline(time.Now().Add(c.idle)); err != nil {
			return 0, err
		}
	}
	return c.Conn.Read(p)
}

// Write closes the connection after an error: a frame may have been sent in
// part, so that nothing sent later would be understood.
func (c timedConn) Write(p []byte) (int, error) {
	if err := c.SetWriteDeadline(time.Now().Add(c.write)); err != nil {
		return 0, err
	}
	n, err := c.Conn.Write(p)
	if err != nil {
		_ = c.Close()
	}
	return n, err
}

func newStream(c net.Conn, idle time.Duration) jsonrpc2.ObjectStream {
	return jsonrpc2.NewBufferedStream(timedConn{Conn: c, idle: idle, write: writeTimeout}, boundedCodec{})
}

// quiet keeps the library from writing to the standard logger: broken
// connections are normal and are counted by the caller.
func quiet() jsonrpc2.ConnOpt { return jsonrpc2.SetLogger(log.New(io.Discard, "", 0)) }
