package target

import (
	"context"
	"io"
	"net"
	"net/http"
	"strconv"
	"time"

	"balsamproxy"
	"balsamproxy/core/inflight"
	"balsamproxy/core/tracecontext"
	"balsamproxy/io/fleet"
	"balsamproxy/io/httpresponse"
)

const (
	backgroundTimeout = 10 * time.Second
	headerBytesMax    = 64 << 10
	bodyBytesMax      = 8 << 20
)

// Handler serves the targets of this host: announcements and outgoing calls,
// which name the service as the host of an HTTP proxy request. Its fields must
// be set.
type Handler struct {
	Host      balsamproxy.HostID
	Forwarder *Forwarder
	Dispatch  *fleet.Dispatcher
	Routes    fleet.Routes
	IDs       fleet.IDs
	responses httpresponse.Writer
}

// Mux returns the HTTP handler for the listener that targets connect to.
func (handler *Handler) Mux() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST "+AnnouncePath, handler.Forwarder.serveAnnounce)
	mux.HandleFunc("DELETE "+AnnouncePath+"/{target}", handler.Forwarder.serveWithdraw)
	return http.HandlerFunc(func(writer http.ResponseWriter, request *http.Request) {
		if _, pattern := mux.Handler(request); pattern != "" && request.URL.Host == "" {
			mux.ServeHTTP(writer, request)
			return
		}
		handler.serveCall(writer, request)
	})
}

// Server returns an HTTP server for the targets of this host.
func (handler *Handler) Server() *http.Server {
	return &http.Server{
		Handler:           handler.Mux(),
		ReadHeaderTimeout: time.Second,
		MaxHeaderBytes:    headerBytesMax,
	}
}

// serveCall dispatches a call that a target makes.
func (handler *Handler) serveCall(writer http.ResponseWriter, request *http.Request) {
	parent, refusal := handler.parent(request)
	if refusal != nil {
		httpresponse.WriteRefusal(writer, parent.Head.RequestID, refusal)
		return
	}
	ctx, cancel := context.WithDeadline(request.Context(), handler.deadline(request, parent))
	defer cancel()
	stop := context.AfterFunc(parent.Context, cancel)
	defer stop()
	request.Body = http.MaxBytesReader(writer, request.Body, bodyBytesMax)
	// The targets of this host are trusted, and their slots bound how many calls they make.
	body, err := fleet.BufferBody(request.Body, request.ContentLength, fleet.BodyBufferBytes, func(int64) bool { return true })
	if err != nil {
		httpresponse.WriteRefusal(writer, parent.Head.RequestID, balsamproxy.NotRun(balsamproxy.ReasonBadRequest, err.Error()))
		return
	}
	outgoing := handler.dispatchRequest(request, parent)
	outgoing.Body = body
	response, err := handler.Dispatch.Dispatch(ctx, outgoing)
	if err != nil {
		refusal := fleet.RefusalOf(err)
		parent.RecordCongestion(refusal.Congestion())
		httpresponse.WriteRefusal(writer, parent.Head.RequestID, refusal)
		return
	}
	parent.RecordCongestion(response.Head.ShownCongestion())
	handler.responses.Write(writer, parent.Head.RequestID, response)
}

// parent returns the call on behalf of which a target makes its own call. A call
// without trace context has no parent and is a background call.
func (handler *Handler) parent(request *http.Request) (inflight.Parent, *balsamproxy.Refusal) {
	trace := tracecontext.Read(request.Header)
	for _, span := range trace.Spans {
		parent, found := handler.Forwarder.Parents.Find(span)
		if found && parent.Head.Depth >= balsamproxy.MaxDepth {
			return parent, balsamproxy.NotRun(balsamproxy.ReasonTooDeep, "calls are nested too deep")
		}
		if found {
			return parent, nil
		}
	}
	if trace.FromDaemon {
		return inflight.Parent{}, balsamproxy.NotRun(balsamproxy.ReasonParentEnded, "nobody waits for the answer")
	}
	return handler.background(request), nil
}

func (handler *Handler) background(request *http.Request) inflight.Parent {
	return inflight.Parent{
		Head: balsamproxy.CallHead{
			RequestID:  handler.IDs.NewRequest(),
			Root:       handler.Host,
			Trace:      handler.IDs.NewTrace(),
			Background: true,
		},
		Deadline: handler.Forwarder.Clock.Now().Add(backgroundTimeout),
		Context:  request.Context(),
	}
}

// deadline returns the parent's deadline, or an earlier one that the target
// requested.
func (handler *Handler) deadline(request *http.Request, parent inflight.Parent) time.Time {
	milliseconds, err := strconv.Atoi(request.Header.Get(httpresponse.HeaderTimeout))
	if err != nil || milliseconds < 0 {
		return parent.Deadline
	}
	requested := handler.Forwarder.Clock.Now().Add(time.Duration(milliseconds) * time.Millisecond)
	if requested.Before(parent.Deadline) {
		return requested
	}
	return parent.Deadline
}

func (handler *Handler) dispatchRequest(request *http.Request, parent inflight.Parent) fleet.Request {
	service := balsamproxy.ServiceID(hostName(request.Host))
	head := parent.Head
	head.Service = service
	head.Depth++
	head.Method = request.Method
	head.Path = request.URL.RequestURI()
	head.Header = httpresponse.CleanHeader(request.Header)
	head.ContentLength = request.ContentLength
	idempotent := false
	if route, found := handler.Routes.ServiceRoute(service, request.Method, request.URL.Path); found {
		head.Route = route.ID
		idempotent = route.Idempotent
	}
	return fleet.Request{Head: head, Idempotent: idempotent}
}

// hostName returns the host of a host:port pair.
func hostName(address string) string {
	host, _, err := net.SplitHostPort(address)
	if err != nil {
		return address
	}
	return host
}

func readAll(reader io.Reader) ([]byte, error) {
	return io.ReadAll(reader)
}
