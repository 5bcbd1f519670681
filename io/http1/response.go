package http1

import (
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"time"

	"github.com/rotisserie/eris"

	"balsamproxy"
)

// copyBufferBytes is the maximum size of one body write.
const copyBufferBytes = 16 << 10

func closeBody(response Response) {
	if response.Body != nil {
		_ = response.Body.Close()
	}
}

// writeResponse writes one response. If reading the body fails, it resets the
// connection, so that the caller cannot take a truncated body for a complete one.
func (connection *connection) writeResponse(next *pending, response Response, closeAfter bool) error {
	defer closeBody(response)
	if !balsamproxy.IsFinalStatus(response.Status) {
		// Callers cannot read such a status, or would wait for another response.
		response = Response{Status: http.StatusBadGateway}
	}
	framing := framingOf(next, response)
	_ = connection.conn.SetWriteDeadline(time.Now().Add(writeTimeout))
	if err := connection.writeHead(response, framing, closeAfter || framing == untilClose); err != nil {
		return err
	}
	connection.answerBytes.Store(heldBy(response.Body))
	defer connection.answerBytes.Store(0)
	if framing != noBody && response.Body != nil {
		if err := connection.copyBody(next, response, framing); err != nil {
			connection.reset()
			return err
		}
	}
	next.charge.ShrinkWindow(0)
	if err := connection.writer.Flush(); err != nil {
		return eris.Wrap(err, "http1: cannot write an answer")
	}
	if framing == untilClose {
		return errClosing
	}
	return nil
}

// heldBy returns the memory that a body holds until it is closed, as far as it tells.
func heldBy(body io.Reader) int64 {
	if holder, ok := body.(interface{ Held() int64 }); ok {
		return holder.Held()
	}
	return 0
}

// framing is how the end of a body is delimited.
type framing int

const (
	noBody framing = iota
	byLength
	chunked
	untilClose
)

func framingOf(next *pending, response Response) framing {
	noBodyStatus := response.Status == http.StatusNoContent || response.Status == http.StatusNotModified
	isHead := next.request != nil && next.request.Head.Method == http.MethodHead
	switch {
	case noBodyStatus || isHead:
		return noBody
	case response.ContentLength >= 0:
		return byLength
	case next.request != nil && !next.request.Head.ProtoAtLeast(1, 1):
		return untilClose
	default:
		return chunked
	}
}

func (connection *connection) writeHead(response Response, framing framing, closeAfter bool) error {
	header := response.Header
	if header == nil {
		header = http.Header{}
	}
	switch framing {
	case byLength:
		header.Set("Content-Length", strconv.FormatInt(response.ContentLength, 10))
	case chunked:
		header.Del("Content-Length")
		header.Set("Transfer-Encoding", "chunked")
	case noBody:
		if response.ContentLength > 0 {
			header.Set("Content-Length", strconv.FormatInt(response.ContentLength, 10))
		}
	}
	if closeAfter {
		header.Set("Connection", "close")
	}
	text := http.StatusText(response.Status)
	if text == "" {
		text = "Status"
	}
	if _, err := fmt.Fprintf(connection.writer, "HTTP/1.1 %03d %s\r\n", response.Status, text); err != nil {
		return eris.Wrap(err, "http1: cannot write an answer")
	}
	if err := header.Write(connection.writer); err != nil {
		return eris.Wrap(err, "http1: cannot write an answer")
	}
	_, err := connection.writer.WriteString("\r\n")
	return err
}

func (connection *connection) copyBody(next *pending, response Response, framing framing) error {
	buffer := make([]byte, copyBufferBytes)
	left := response.ContentLength
	for {
		count, err := response.Body.Read(buffer)
		if count > 0 {
			if left -= int64(count); framing == byLength {
				// What has been read is no longer held on its way.
				next.charge.ShrinkWindow(max(left, 0))
			}
			_ = connection.conn.SetWriteDeadline(time.Now().Add(writeTimeout))
			if err := connection.writeChunk(buffer[:count], framing); err != nil {
				return err
			}
		}
		if errors.Is(err, io.EOF) {
			break
		}
		if err != nil {
			return err
		}
	}
	if framing == chunked {
		_, err := connection.writer.WriteString("0\r\n\r\n")
		return err
	}
	return nil
}

func (connection *connection) writeChunk(chunk []byte, framing framing) error {
	if framing != chunked {
		_, err := connection.writer.Write(chunk)
		return err
	}
	if _, err := fmt.Fprintf(connection.writer, "%x\r\n", len(chunk)); err != nil {
		return err
	}
	if _, err := connection.writer.Write(chunk); err != nil {
		return err
	}
	if _, err := connection.writer.WriteString("\r\n"); err != nil {
		return err
	}
	return connection.writer.Flush()
}

// reset closes the connection with a TCP reset, which no peer takes for the end
// of a body.
func (connection *connection) reset() {
	if tcp, ok := connection.conn.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
	_ = connection.conn.Close()
}
