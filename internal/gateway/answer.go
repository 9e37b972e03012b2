package gateway

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"time"
)

// writeAnswers writes the answers of a connection in the order of its requests. When
// the connection ends with an incomplete answer, it cancels the requests in progress. After a
// complete one, there are none, and it closes only the sending side; see linger.
func (c *frontConn) writeAnswers(cancel context.CancelCauseFunc) {
	bw := bufio.NewWriterSize(c.nc, writeBuffer)
	connEnded := false
	for ex := range c.queue {
		<-ex.done
		complete := false
		if !connEnded && !ex.answer.Abort {
			complete = c.writeAnswer(bw, ex) == nil
		}
		ended := !complete || ex.answer.Close
		if ex.answer.Done != nil {
			ex.answer.Done(complete)
		}
		if ex.request != nil {
			c.front.bodies.give(ex.request.reserved)
		}
		if complete && ended {
			c.closeWrite()
		}
		c.completeAnswer(ended)
		close(ex.written)
		if ended && !connEnded {
			connEnded = true
			cancel(errConnEnded)
			if !complete {
				_ = c.nc.Close()
			}
		}
	}
}

func (c *frontConn) writeAnswer(bw *bufio.Writer, ex *exchange) error {
	a := ex.answer
	_ = c.nc.SetWriteDeadline(time.Now().Add(answerWriteTimeout))
	a.Close = c.closesAfter(a)
	head := ex.request != nil && ex.request.HTTP.Method == http.MethodHead
	fmt.Fprintf(bw, "HTTP/1.1 %03d %s\r\n", a.Status, http.StatusText(a.Status))
	chunked := a.Rest != nil && a.Length < 0
	switch {
	case chunked:
		a.Header.Set("Transfer-Encoding", "chunked")
	case hasNoBody(a.Status):
	case a.Rest != nil:
		a.Header.Set("Content-Length", strconv.FormatInt(a.Length, 10))
	case !head || a.Header.Get("Content-Length") == "":
		a.Header.Set("Content-Length", strconv.Itoa(len(a.Body)))
	}
	if a.Close {
		a.Header.Set("Connection", "close")
	}
	_ = a.Header.Write(bw)
	_, _ = bw.WriteString("\r\n")
	if !head && !hasNoBody(a.Status) {
		if err := c.writeBody(bw, a, chunked); err != nil {
			return err
		}
	}
	return bw.Flush()
}

// hasNoBody reports whether answers with the status have no body and no length.
func hasNoBody(status int) bool {
	return status == http.StatusNoContent || status == http.StatusNotModified
}

func (c *frontConn) writeBody(bw *bufio.Writer, a *Answer, chunked bool) error {
	if a.Rest == nil {
		_, err := bw.Write(a.Body)
		return err
	}
	body := io.MultiReader(bytes.NewReader(a.Body), a.Rest)
	// The reader drops the buffered part once it is written: callers may take long to read the
	// rest, and the host would hold the parts of all of them.
	a.Body = nil
	if !chunked {
		n, err := io.Copy(deadlineWriter{c, bw}, body)
		if err == nil && n != a.Length {
			err = io.ErrUnexpectedEOF
		}
		return err
	}
	buf := make([]byte, 16<<10)
	for {
		n, err := body.Read(buf)
		if n > 0 {
			fmt.Fprintf(bw, "%x\r\n", n)
			_, _ = bw.Write(buf[:n])
			_, _ = bw.WriteString("\r\n")
			_ = c.nc.SetWriteDeadline(time.Now().Add(answerWriteTimeout))
			if ferr := bw.Flush(); ferr != nil {
				return ferr
			}
		}
		if err == io.EOF {
			_, werr := bw.WriteString("0\r\n\r\n")
			return werr
		}
		if err != nil {
			return err
		}
	}
}

// deadlineWriter sets a new write deadline before each write of a streamed answer.
type deadlineWriter struct {
	c  *frontConn
	bw *bufio.Writer
}

func (d deadlineWriter) Write(p []byte) (int, error) {
	_ = d.c.nc.SetWriteDeadline(time.Now().Add(answerWriteTimeout))
	return d.bw.Write(p)
}
