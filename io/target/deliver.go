package target

import (
	"bufio"
	"bytes"
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
	// strangersMax bounds the answers to other requests that are skipped.
	strangersMax = 4
	// bodyMax bounds the body of an answer, in bytes.
	bodyMax = 64 << 20
	// unsafeIdleMax is how long a connection may have been idle that carries
	// a call which may not be repeated: a target may have forgotten it.
	unsafeIdleMax = 400 * time.Millisecond
	// restTimeout is how long a target that answered early may take to read
	// the rest of a request before its connection is given up.
	restTimeout = 500 * time.Millisecond
)

var (
	// errNotSent says that no byte of a call can have reached the target.
	errNotSent = errors.New("target: nothing was sent")
	// errStranger says that the answers on a connection are to other requests.
	errStranger = errors.New("target: answers to other requests")
	errBodyLong = errors.New("target: answer too long")
)

// delivered is a whole answer of a target.
type delivered struct {
	status int
	header http.Header
	body   []byte
	// length is what the answer says of its body; that to HEAD has none.
	length int64
	mark   balsamproxy.ResponseMetadata
}

// exchange sends the call on one connection and reads the whole answer.
func (visit *visit) exchange(ctx context.Context) (*delivered, error) {
	request, err := visit.newRequest(ctx)
	if err != nil {
		return nil, errors.Join(errNotSent, err)
	}
	now := visit.local.Clock.Now()
	idleMax := idleTimeout
	if !visit.call.Head.Idempotent {
		idleMax = unsafeIdleMax
	}
	connection, err := visit.local.connections.takeFresh(ctx, visit.target.Address, now, idleMax)
	if err != nil {
		return nil, errors.Join(errNotSent, err)
	}
	release := context.AfterFunc(ctx, func() { _ = connection.SetDeadline(time.Unix(1, 0)) })
	written := task.Start(ctx, func(context.Context) error { return writeRequest(connection, request) })
	found, reusable, err := visit.readAnswer(connection, request)
	whole := err == nil && waitWritten(connection, written)
	if !release() || !whole || !reusable {
		_ = connection.Close()
	} else {
		visit.local.connections.keep(connection, visit.local.Clock.Now())
	}
	return found, err
}

func writeRequest(connection *connection, request *http.Request) error {
	if err := request.Write(connection.writer); err != nil {
		return err
	}
	return connection.writer.Flush()
}

// waitWritten waits for the rest of a request whose answer came early.
func waitWritten(connection *connection, written <-chan error) bool {
	timer := time.NewTimer(restTimeout)
	defer timer.Stop()
	select {
	case err := <-written:
		return err == nil
	case <-timer.C:
		_ = connection.Close()
		<-written //nolint:errcheck // the connection was closed under it
		return false
	}
}

// readAnswer reads the answer to a request, past answers to others.
func (visit *visit) readAnswer(connection *connection, request *http.Request) (*delivered, bool, error) {
	for range strangersMax {
		response, err := readFinal(connection.reader, request) //nolint:bodyclose // readWhole closes it
		if err != nil {
			return nil, false, noEOF(err)
		}
		found, err := readWhole(response)
		if err != nil {
			return nil, false, err
		}
		found.mark = visit.local.Dialect.ParseResponseMetadata(response.StatusCode, response.Header)
		if found.mark.RequestID == visit.call.Head.RequestID {
			return found, connection.reusable(response), nil
		}
		if response.Close {
			return nil, false, errStranger
		}
	}
	return nil, false, errStranger
}

func readFinal(reader *bufio.Reader, request *http.Request) (*http.Response, error) {
	for range interimMax {
		response, err := http.ReadResponse(reader, request)
		if err != nil || response.StatusCode >= http.StatusOK {
			return response, err
		}
	}
	return nil, errInterim
}

func readWhole(response *http.Response) (*delivered, error) {
	defer func() { _ = response.Body.Close() }()
	body, err := io.ReadAll(io.LimitReader(response.Body, bodyMax+1))
	if err != nil {
		return nil, noEOF(err)
	}
	if len(body) > bodyMax {
		return nil, errBodyLong
	}
	found := &delivered{
		status: response.StatusCode,
		header: httpresponse.CleanHeader(response.Header),
		body:   body,
		length: int64(len(body)),
	}
	if response.Request.Method == http.MethodHead {
		found.length = response.ContentLength
	}
	return found, nil
}

func (visit *visit) newRequest(ctx context.Context) (*http.Request, error) {
	head := visit.call.Head
	request, err := http.NewRequestWithContext(ctx, head.Method, "http://"+visit.target.Address+head.Path, bytes.NewReader(visit.body))
	if err != nil {
		return nil, eris.Wrap(err, "target: request")
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
		left = deadline.Sub(visit.local.Clock.Now())
	}
	visit.local.Dialect.SetTargetHead(request.Header, balsamproxy.TargetHead{
		RequestID: head.RequestID,
		Timeout:   left,
		Target:    visit.target.ID,
		Account:   head.Account,
		Caller:    head.Caller,
	})
	return request, nil
}

// refusesConnections says whether the target accepts no connection any more.
func (visit *visit) refusesConnections() bool {
	conn, err := (&net.Dialer{Timeout: dialTimeout}).Dial("tcp", visit.target.Address)
	if err != nil {
		return true
	}
	_ = conn.Close()
	return false
}
