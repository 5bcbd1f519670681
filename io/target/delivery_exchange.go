package target

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"time"

	"github.com/rotisserie/eris"

	"balsamproxy"
	"balsamproxy/io/httpresponse"
	"balsamproxy/task"
)

const (
	// mismatchedMax limits how many responses are read while the expected one is
	// awaited; those with the id of another request are skipped.
	mismatchedMax = 4
	// nonIdempotentIdleMax is the maximum idle time of a connection that carries
	// a non-idempotent call. The target may have dropped an older connection,
	// and such a call cannot be retried.
	nonIdempotentIdleMax = 400 * time.Millisecond
)

var (
	// errNotSent means that no byte of a call can have reached the target.
	errNotSent = errors.New("target: nothing was sent")
	// errMismatchedResponse means that a connection returned responses to other
	// requests.
	errMismatchedResponse = errors.New("target: answers to other requests")
)

// targetResponse is a complete response of a target.
type targetResponse struct {
	status int
	header http.Header
	body   *bodyBuffer
	// contentLength is the length of the body. For a response to a HEAD request
	// it is the announced length, while the body is empty.
	contentLength int64
	// endsWithConnection is set if the body ended with the connection.
	endsWithConnection bool
	metadata           balsamproxy.ResponseMetadata
}

// exchange sends the call on one connection and reads the complete response.
func (delivery *delivery) exchange(ctx context.Context) (*targetResponse, error) {
	request, err := delivery.newRequest(ctx)
	if err != nil {
		return nil, errors.Join(errNotSent, err)
	}
	now := delivery.local.Clock.Now()
	idleMax := idleTimeout
	if !delivery.call.Head.Idempotent {
		idleMax = nonIdempotentIdleMax
	}
	connection, err := delivery.local.connections.getFresh(ctx, delivery.target.Address, delivery.call.Head.RequestID, now, idleMax)
	if err != nil {
		return nil, errors.Join(errNotSent, err)
	}
	release := context.AfterFunc(ctx, func() { _ = connection.SetDeadline(time.Unix(1, 0)) })
	received, reusable, err := delivery.exchangeOn(ctx, connection, request)
	if !release() || !reusable {
		_ = connection.Close()
	} else {
		delivery.local.connections.putIdle(connection, delivery.local.Clock.Now())
	}
	return received, err
}

// exchangeOn sends a request on a connection and reads the complete response. It also reports
// whether the connection is reusable.
func (delivery *delivery) exchangeOn(ctx context.Context, connection *connection, request *http.Request) (*targetResponse, bool, error) {
	written := task.Start(ctx, func(context.Context) error { return connection.sendRequest(request) })
	received, reusable, err := delivery.readResponse(connection, request)
	if err != nil {
		if connection.sender.bodyBroken.Load() {
			err = errors.Join(errBodyBroken, err)
		}
		return nil, false, err
	}
	sent, sendErr := connection.waitSent(written)
	if sent && received.endsWithConnection && connection.sawReset() {
		_ = received.body.Close()
		return nil, false, errAnswerReset
	}
	return received, reusable && sent && sendErr == nil, nil
}

// readResponse reads the response to a request and skips responses to other
// requests. It also reports whether the connection is reusable.
func (delivery *delivery) readResponse(connection *connection, request *http.Request) (*targetResponse, bool, error) {
	for range mismatchedMax {
		response, err := connection.readFinalResponse(request) //nolint:bodyclose // the connection is closed instead
		if err != nil {
			return nil, false, unexpectedEOF(err)
		}
		received, err := delivery.readFullResponse(response)
		if err != nil {
			return nil, false, err
		}
		received.metadata = delivery.local.Dialect.ParseResponseMetadata(response.StatusCode, response.Header)
		if received.metadata.RequestID == delivery.call.Head.RequestID {
			if received.status >= http.StatusBadRequest {
				connection.failed = append(connection.failed, delivery.call.Head.RequestID)
			}
			return received, connection.reusable(response), nil
		}
		_ = received.body.Close()
		if response.Close {
			return nil, false, errMismatchedResponse
		}
	}
	return nil, false, errMismatchedResponse
}

// readFullResponse reads the body of a response. It does not close it: that would
// read on to the end of a body that was given up, and a complete one needs no
// closing.
func (delivery *delivery) readFullResponse(response *http.Response) (*targetResponse, error) {
	length := response.ContentLength
	if response.Request.Method == http.MethodHead {
		length = 0
	}
	body, err := readBody(response.Body, length, delivery.local.Bodies)
	if err != nil {
		return nil, err
	}
	received := &targetResponse{
		status:        response.StatusCode,
		header:        httpresponse.CleanHeader(response.Header),
		body:          body,
		contentLength: body.length,

		endsWithConnection: endsWithConnection(response),
	}
	if response.Request.Method == http.MethodHead {
		received.contentLength = response.ContentLength
	}
	return received, nil
}

func (delivery *delivery) newRequest(ctx context.Context) (*http.Request, error) {
	head := delivery.call.Head
	request, err := http.NewRequestWithContext(ctx, head.Method, "http://"+delivery.target.Address+head.Path, http.NoBody)
	if err != nil {
		return nil, eris.Wrap(err, "target: request")
	}
	if head.ContentLength != 0 {
		request.Body = io.NopCloser(delivery.call.Body)
		request.ContentLength = head.ContentLength
	}
	request.Host = head.Authority
	request.Header = head.Header.Clone()
	if request.Header == nil {
		request.Header = http.Header{}
	}
	if _, set := request.Header["User-Agent"]; !set {
		request.Header.Set("User-Agent", "")
	}
	left := head.Timeout
	if deadline, ok := ctx.Deadline(); ok {
		left = deadline.Sub(delivery.local.Clock.Now())
	}
	delivery.local.Dialect.SetTargetHead(request.Header, balsamproxy.TargetHead{
		RequestID: head.RequestID,
		Timeout:   left,
		Target:    delivery.target.ID,
		Account:   head.Account,
		Caller:    head.Caller,
	})
	return request, nil
}

// refusesConnections reports whether the target no longer accepts connections.
func (delivery *delivery) refusesConnections() bool {
	conn, err := (&net.Dialer{Timeout: dialTimeout}).Dial("tcp", delivery.target.Address)
	if err != nil {
		return true
	}
	_ = conn.Close()
	return false
}
