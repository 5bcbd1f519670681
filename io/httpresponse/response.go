package httpresponse

import (
	"io"
	"maps"
	"net/http"
	"strconv"
	"sync"

	"balsamproxy"
)

const copyBufferBytes = 16 << 10

// Writer writes responses. The zero value is ready to use.
type Writer struct {
	buffers sync.Pool
}

// Write writes a target's response, or a refusal if its status is invalid. If copying the body fails, it panics with
// http.ErrAbortHandler, which aborts the connection, so that the peer cannot
// take a truncated body for a complete one.
func (w *Writer) Write(writer http.ResponseWriter, request balsamproxy.RequestID, response *balsamproxy.Response) {
	defer closeBody(response)
	if !balsamproxy.IsFinalStatus(response.Head.Status) {
		// net/http panics on most of them, and takes 1xx for interim responses.
		WriteRefusal(writer, request, balsamproxy.MayHaveRun(balsamproxy.ReasonTargetFailed, "the response has an invalid status"))
		return
	}
	header := writer.Header()
	maps.Copy(header, CleanHeader(response.Head.Header))
	header.Set(HeaderRequestID, string(request))
	if response.Head.ContentLength >= 0 && header.Get("Content-Length") == "" {
		header.Set("Content-Length", strconv.FormatInt(response.Head.ContentLength, 10))
	}
	writer.WriteHeader(response.Head.Status)
	if err := w.copy(writer, response); err != nil {
		panic(http.ErrAbortHandler)
	}
}

func closeBody(response *balsamproxy.Response) {
	_ = response.Body.Close()
}

func (w *Writer) copy(writer http.ResponseWriter, response *balsamproxy.Response) error {
	buffer, ok := w.buffers.Get().(*[]byte)
	if !ok {
		allocated := make([]byte, copyBufferBytes)
		buffer = &allocated
	}
	defer w.buffers.Put(buffer)
	streaming := response.Head.ContentLength < 0
	for {
		count, err := response.Body.Read(*buffer)
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
