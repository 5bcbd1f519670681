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
)

// copyBytes is the largest part of a body that is written at once.
const copyBytes = 16 << 10

func closeBody(response Response) {
	if response.Body != nil {
		_ = response.Body.Close()
	}
}

// answer writes one answer. If its body breaks off, the connection is reset,
// so that the caller cannot take the part for the whole.
func (connection *connection) answer(next *pending, response Response, last bool) error {
	defer closeBody(response)
	framing := framingOf(next, response)
	_ = connection.conn.SetWriteDeadline(time.Now().Add(writeTimeout))
	if err := connection.writeHead(response, framing, last || framing == untilClose); err != nil {
		return err
	}
	if framing != noBody && response.Body != nil {
		if err := connection.copyBody(response.Body, framing); err != nil {
			connection.reset()
			return err
		}
	}
	if err := connection.writer.Flush(); err != nil {
		return eris.Wrap(err, "http1: cannot write an answer")
	}
	if framing == untilClose {
		return errEnded
	}
	return nil
}

// framing tells how the end of a body is marked.
type framing int

const (
	noBody framing = iota
	byLength
	chunked
	untilClose
)

func framingOf(next *pending, response Response) framing {
	bodiless := response.Status == http.StatusNoContent || response.Status == http.StatusNotModified
	head := next.request != nil && next.request.Head.Method == http.MethodHead
	switch {
	case bodiless || head:
		return noBody
	case response.ContentLength >= 0:
		return byLength
	case next.request != nil && !next.request.Head.ProtoAtLeast(1, 1):
		return untilClose
	default:
		return chunked
	}
}

func (connection *connection) writeHead(response Response, framing framing, last bool) error {
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
	if last {
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

func (connection *connection) copyBody(body io.Reader, framing framing) error {
	buffer := make([]byte, copyBytes)
	for {
		count, err := body.Read(buffer)
		if count > 0 {
			_ = connection.conn.SetWriteDeadline(time.Now().Add(writeTimeout))
			if err := connection.writePart(buffer[:count], framing); err != nil {
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

func (connection *connection) writePart(part []byte, framing framing) error {
	if framing != chunked {
		_, err := connection.writer.Write(part)
		return err
	}
	if _, err := fmt.Fprintf(connection.writer, "%x\r\n", len(part)); err != nil {
		return err
	}
	if _, err := connection.writer.Write(part); err != nil {
		return err
	}
	if _, err := connection.writer.WriteString("\r\n"); err != nil {
		return err
	}
	return connection.writer.Flush()
}

// reset ends the connection in a way that no peer takes for the end of a
// body.
func (connection *connection) reset() {
	if tcp, ok := connection.conn.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
	_ = connection.conn.Close()
}
