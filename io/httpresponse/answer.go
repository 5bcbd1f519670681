package httpresponse

import (
	"io"
	"maps"
	"net/http"
	"strconv"
	"sync"

	"balsamproxy"
)

const copyBytes = 16 << 10

// Writer writes answers. Its zero value works.
type Writer struct {
	buffers sync.Pool
}

// Write answers a request with a target's answer. If the body breaks off, the
// connection is ended by panicking with http.ErrAbortHandler, so that the
// peer cannot take the part for the whole.
func (w *Writer) Write(writer http.ResponseWriter, request balsamproxy.RequestID, answer *balsamproxy.Response) {
	defer closeBody(answer)
	header := writer.Header()
	maps.Copy(header, CleanHeader(answer.Head.Header))
	header.Set(HeaderRequestID, string(request))
	if answer.Head.ContentLength >= 0 && header.Get("Content-Length") == "" {
		header.Set("Content-Length", strconv.FormatInt(answer.Head.ContentLength, 10))
	}
	writer.WriteHeader(answer.Head.Status)
	if err := w.copy(writer, answer); err != nil {
		panic(http.ErrAbortHandler)
	}
}

func closeBody(answer *balsamproxy.Response) {
	_ = answer.Body.Close()
}

func (w *Writer) copy(writer http.ResponseWriter, answer *balsamproxy.Response) error {
	buffer, ok := w.buffers.Get().(*[]byte)
	if !ok {
		fresh := make([]byte, copyBytes)
		buffer = &fresh
	}
	defer w.buffers.Put(buffer)
	streaming := answer.Head.ContentLength < 0
	for {
		count, err := answer.Body.Read(*buffer)
		if count > 0 {
			if _, err := writer.Write((*buffer)[:count]); err != nil {
				return err
			}
		}
		if err == io.EOF {
			return nil
		}
		if err != nil {
			return err
		}
		if streaming {
			_ = http.NewResponseController(writer).Flush()
		}
	}
}
