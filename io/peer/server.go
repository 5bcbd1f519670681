package peer

import (
	"context"
	"errors"
	"net/http"
	"sync"
	"time"

	"github.com/gorilla/websocket"

	"balsamproxy"
	"balsamproxy/core/memory"
	"balsamproxy/task"
)

// Server accepts links from other daemons. It is the http.Handler for LinkPath.
// Local must be set.
type Server struct {
	// Local forwards calls to the targets of this host.
	Local balsamproxy.Forwarder
	// Status returns the status of this daemon that is sent when a link opens.
	// If nil, no status is sent, and BroadcastStatus must not be called.
	Status func() balsamproxy.Status
	// OnStatus is called with each status that a dialling daemon sends; it may
	// be nil.
	OnStatus func(balsamproxy.Status)
	// Memory bounds the memory for calls, and for responses on their way to a peer; nil
	// does not bound it.
	Memory *memory.Budget
	// OnEvict is called when a response is given up because the peer takes it too slowly
	// while memory is short. It must not block, and may be nil.
	OnEvict func(caller balsamproxy.HostID)

	mutex    sync.Mutex
	links    map[*serverLink]struct{}
	refusing bool
	leaving  bool
	closed   bool
	calls    task.Group
	handlers map[Kind]handler
	readers  readerPool
}

type serverLink struct {
	*link
	server    *Server
	host      balsamproxy.HostID
	questions task.Group
}

// ServeHTTP upgrades the connection to a link and serves it until it ends.
func (server *Server) ServeHTTP(writer http.ResponseWriter, request *http.Request) {
	host, err := peerHost(request)
	if err != nil {
		http.Error(writer, err.Error(), http.StatusForbidden)
		return
	}
	upgrader := websocket.Upgrader{
		ReadBufferSize:  bufferBytes,
		WriteBufferSize: bufferBytes,
		Subprotocols:    []string{compressedProtocol},
	}
	conn, err := upgrader.Upgrade(writer, request, nil)
	if err != nil {
		return
	}
	link := &serverLink{link: newLink(conn, &server.readers), server: server, host: host}
	ctx, cancel := context.WithCancel(context.WithoutCancel(request.Context()))
	defer cancel()
	if !server.add(link) {
		_ = conn.Close()
		return
	}
	defer server.remove(link)
	_ = link.run(ctx, func(frame *frame) error { return link.receive(ctx, frame) })
	cancel()
	<-link.questions.Ended()
}

var errHostNotCertified = errors.New("the certificate does not name the host that dials")

// peerHost returns the id of the dialling host. Over TLS, the peer's certificate
// must be valid for it.
func peerHost(request *http.Request) (balsamproxy.HostID, error) {
	name := request.Header.Get(HeaderHost)
	if request.TLS == nil {
		return balsamproxy.HostID(name), nil
	}
	if len(request.TLS.PeerCertificates) == 0 || request.TLS.PeerCertificates[0].VerifyHostname(name) != nil {
		return "", errHostNotCertified
	}
	return balsamproxy.HostID(name), nil
}

// add registers a link and sends the status. It returns false if the server is closed.
func (server *Server) add(link *serverLink) bool {
	server.mutex.Lock()
	defer server.mutex.Unlock()
	if server.closed {
		return false
	}
	if server.links == nil {
		server.links = map[*serverLink]struct{}{}
	}
	server.links[link] = struct{}{}
	if server.Status != nil {
		status := server.Status()
		_ = link.send(&frame{Status: &status})
	}
	if server.leaving {
		_ = link.send(&frame{Leaving: true})
	}
	return true
}

func (server *Server) remove(link *serverLink) {
	server.mutex.Lock()
	defer server.mutex.Unlock()
	delete(server.links, link)
}

// Leave asks all peers to send no new calls.
func (server *Server) Leave() {
	server.mutex.Lock()
	defer server.mutex.Unlock()
	server.leaving = true
	for link := range server.links {
		_ = link.send(&frame{Leaving: true})
	}
}

// BroadcastStatus sends the current status of this daemon to all peers.
func (server *Server) BroadcastStatus() {
	status := server.Status()
	server.mutex.Lock()
	defer server.mutex.Unlock()
	for link := range server.links {
		_ = link.send(&frame{Status: &status})
	}
}

// RefuseCalls makes the server refuse new calls. It returns a channel that is
// closed when all calls in progress have ended.
func (server *Server) RefuseCalls() <-chan struct{} {
	server.mutex.Lock()
	defer server.mutex.Unlock()
	server.refusing = true
	return server.calls.Ended()
}

// RecallCalls refuses the calls in progress that have not been sent to their
// targets.
func (server *Server) RecallCalls() {
	server.mutex.Lock()
	defer server.mutex.Unlock()
	for link := range server.links {
		link.recallStreams()
	}
}

// Close ends all links, and those that peers open later.
func (server *Server) Close() {
	server.mutex.Lock()
	defer server.mutex.Unlock()
	server.closed = true
	for link := range server.links {
		_ = link.conn.Close()
	}
}

// start runs a call in a new goroutine. It returns false if the server refuses
// new calls.
func (server *Server) start(ctx context.Context, run func(context.Context) error, report func(error)) bool {
	server.mutex.Lock()
	defer server.mutex.Unlock()
	if server.refusing {
		return false
	}
	server.calls.Start(ctx, run, report)
	return true
}

func (link *serverLink) receive(ctx context.Context, frame *frame) error {
	if frame.Status != nil {
		if link.server.OnStatus != nil {
			link.server.OnStatus(*frame.Status)
		}
		return nil
	}
	if frame.Call != nil {
		link.receiveCall(ctx, frame)
		return nil
	}
	if frame.Question != nil {
		link.receiveQuestion(ctx, frame)
		return nil
	}
	stream := link.findStream(frame.Stream)
	if stream == nil {
		return nil
	}
	if frame.Cancel {
		stream.fail(context.Canceled)
		return nil
	}
	if frame.Recall {
		stream.recall()
		return nil
	}
	if frame.Credit > 0 {
		stream.outbound.grant(frame.Credit)
	}
	return stream.inbound.receive(frame.Data, frame.End)
}

func (link *serverLink) receiveCall(ctx context.Context, frame *frame) {
	stream := newStream(frame.Stream, link.link)
	ctx, cancel := context.WithTimeout(ctx, frame.Call.Timeout)
	stream.onCancel = cancel
	recalled := make(chan struct{})
	stream.onRecall = sync.OnceFunc(func() { close(recalled) })
	if !link.addStream(stream) {
		cancel()
		return
	}
	head := *frame.Call
	if err := stream.inbound.receive(frame.Data, frame.End); err != nil {
		stream.inbound.fail(err)
	}
	run := func(ctx context.Context) error { return link.serve(ctx, stream, head, recalled) }
	ended := func(error) {
		cancel()
		link.removeStream(stream.id)
	}
	if !link.server.start(ctx, run, ended) {
		stream.sendRefusal(balsamproxy.NotRun(balsamproxy.ReasonShuttingDown, string(head.Target)))
		ended(nil)
	}
}

// serve forwards one call to its target and sends the response to the peer.
func (link *serverLink) serve(ctx context.Context, stream *stream, head balsamproxy.CallHead, recalled <-chan struct{}) error {
	charge, refusal := link.charge(head)
	if refusal != nil {
		stream.sendRefusal(refusal)
		return refusal
	}
	defer charge.Release()
	call := balsamproxy.Call{Head: head, Body: &bodyReader{stream: stream, context: ctx}, Recalled: recalled}
	answer, err := link.server.Local.Forward(ctx, call)
	if err != nil {
		stream.sendRefusal(refusalOf(err))
		return err
	}
	defer link.holdAnswer(stream, answer)()
	defer closeBody(answer)
	return stream.sendAnswer(ctx, answer)
}

func refusalOf(err error) *balsamproxy.Refusal {
	var refusal *balsamproxy.Refusal
	if errors.As(err, &refusal) {
		return refusal
	}
	return balsamproxy.MayHaveRun(balsamproxy.ReasonTargetFailed, err.Error())
}

func closeBody(answer *balsamproxy.Response) {
	_ = answer.Body.Close()
}

func (stream *stream) sendAnswer(ctx context.Context, answer *balsamproxy.Response) error {
	data, complete, err := readSmallBody(answer.Body, answer.Head.ContentLength)
	if err != nil {
		stream.sendRefusal(balsamproxy.MayHaveRun(balsamproxy.ReasonAnswerTruncated, err.Error()))
		return err
	}
	head := &frame{Stream: stream.id, Answer: &answer.Head, Data: data, End: complete}
	if err := stream.link.send(head); err != nil || complete {
		return err
	}
	err = stream.writeBody(ctx, answer.Body)
	if err != nil {
		stream.sendRefusal(balsamproxy.MayHaveRun(balsamproxy.ReasonAnswerTruncated, err.Error()))
	}
	return err
}

// Mux returns the request multiplexer of the peer listener.
func (server *Server) Mux() *http.ServeMux {
	mux := http.NewServeMux()
	mux.Handle("GET "+LinkPath, server)
	return mux
}

// HTTPServer returns an HTTP server for links. It bounds the time to read a
// request header.
func (server *Server) HTTPServer() *http.Server {
	return &http.Server{Handler: server.Mux(), ReadHeaderTimeout: time.Second}
}
