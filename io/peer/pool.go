// Package peer carries calls and questions between daemons, over one
// WebSocket connection with CBOR messages for each pair and direction.
package peer

import (
	"context"
	"crypto/tls"
	"errors"
	"net"
	"net/http"
	"sync"
	"syscall"
	"time"

	"github.com/gorilla/websocket"
	"github.com/rotisserie/eris"
	"github.com/uber-go/tally/v4"
	"golang.org/x/sys/unix"

	"balsamproxy"
	"balsamproxy/task"
)

const (
	// LinkPath is where a daemon accepts links.
	LinkPath = "/balsamproxy/v1/link"
	// HeaderHost names the dialling host.
	HeaderHost = "Balsam-Host"

	dialTimeout = time.Second
	// connectTimeout bounds the connection itself: the kernel sends a lost
	// opening packet again after a second, a new try comes sooner.
	connectTimeout = 300 * time.Millisecond
	// dialPatience is how long a call waits while another one dials.
	dialPatience = 100 * time.Millisecond
	// dialBackOffMin is the pause after a failed dial; it doubles with each
	// further failure, up to dialDoublingsMax times.
	dialBackOffMin   = 200 * time.Millisecond
	dialDoublingsMax = 4
	bufferBytes      = 32 << 10
	probeInterval    = 500 * time.Millisecond
	probeFailures    = 3
)

// Pool keeps the links that this daemon dialled. Its fields must be set before
// the first use. Run must be running for it to dial.
type Pool struct {
	// Host is this host.
	Host balsamproxy.HostID
	// Directory finds other hosts.
	Directory balsamproxy.MemberFinder
	// TLS returns the configuration for a host; nil means plain links.
	TLS func(host balsamproxy.HostID) *tls.Config
	// LocalStatus returns what a dialled peer is told of this daemon; nil tells
	// nothing.
	LocalStatus func() balsamproxy.Status
	// OnStatus is told what a dialled peer says of itself; Lost is told when
	// the link to it has ended. Both may be nil.
	OnStatus   func(balsamproxy.Status)
	OnLinkLost func(host balsamproxy.HostID)
	// OnHostMismatch is told of a host at whose address another one answered; it
	// may be nil.
	OnHostMismatch func(host balsamproxy.HostID)
	// ShouldCompress says whether the link to a host should be compressed; nil
	// compresses none.
	ShouldCompress func(member balsamproxy.Member) bool
	// Metrics counts links; nil counts nothing.
	Metrics tally.Scope

	links   sync.Map // of balsamproxy.HostID to *dialled
	running task.Group
	readers readerPool
	mutex   sync.Mutex
	context context.Context
	started chan struct{}
}

// Run lets the pool dial until ctx ends, then waits for its links to end.
func (pool *Pool) Run(ctx context.Context) error {
	started := pool.startedChannel()
	pool.mutex.Lock()
	pool.context = ctx
	pool.mutex.Unlock()
	close(started)
	ticker := time.NewTicker(probeInterval)
	defer ticker.Stop()
	for ctx.Err() == nil {
		select {
		case <-ctx.Done():
		case now := <-ticker.C:
			pool.probe(now)
		}
	}
	<-pool.running.Ended()
	return ctx.Err()
}

func (pool *Pool) startedChannel() chan struct{} {
	pool.mutex.Lock()
	defer pool.mutex.Unlock()
	if pool.started == nil {
		pool.started = make(chan struct{})
	}
	return pool.started
}

// WaitRunning waits until Run has begun.
func (pool *Pool) WaitRunning() { <-pool.startedChannel() }

func (pool *Pool) probe(now time.Time) {
	pool.links.Range(func(_, value any) bool {
		if dialled, ok := value.(*dialled); ok {
			dialled.probe(now)
		}
		return true
	})
}

func (pool *Pool) runContext() context.Context {
	pool.mutex.Lock()
	defer pool.mutex.Unlock()
	return pool.context
}

// link returns the link to a host, dialling it if there is none.
func (pool *Pool) link(ctx context.Context, host balsamproxy.HostID) (*clientLink, error) {
	member, known := pool.Directory.Member(host)
	if !known {
		return nil, eris.Wrap(ErrUnreachable, "host is not known")
	}
	dialled := pool.place(host)
	if link, usable := dialled.current(member.PeerAddress); usable {
		return link, nil
	}
	if err := dialled.take(ctx); err != nil {
		return nil, err
	}
	defer func() { dialled.turn <- struct{}{} }()
	if link, usable := dialled.current(member.PeerAddress); usable {
		return link, nil
	}
	if dialled.resting(time.Now()) {
		return nil, eris.Wrap(ErrUnreachable, "dials failed a moment ago")
	}
	link, err := pool.dial(ctx, member)
	if err != nil {
		dialled.fail(time.Now())
		return nil, err
	}
	dialled.keep(link, member.PeerAddress)
	return link, nil
}

func (pool *Pool) place(host balsamproxy.HostID) *dialled {
	if place, found := pool.links.Load(host); found {
		dialled, _ := place.(*dialled)
		return dialled
	}
	place, _ := pool.links.LoadOrStore(host, newDialled())
	dialled, _ := place.(*dialled)
	return dialled
}

func (pool *Pool) dial(ctx context.Context, member balsamproxy.Member) (*clientLink, error) {
	running := pool.runContext()
	if running == nil || running.Err() != nil {
		return nil, eris.Wrap(ErrUnreachable, "this daemon is not running")
	}
	ctx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	conn, err := pool.connect(ctx, member)
	if err != nil {
		return nil, eris.Wrap(ErrUnreachable, err.Error())
	}
	client := newClientLink(newLink(conn, &pool.readers))
	client.learned = func(status balsamproxy.Status) {
		if status.Host != member.Host {
			// Another daemon has the address now.
			_ = conn.Close()
			if pool.OnHostMismatch != nil {
				pool.OnHostMismatch(member.Host)
			}
			return
		}
		if pool.OnStatus != nil {
			pool.OnStatus(status)
		}
	}
	if pool.LocalStatus != nil {
		greeting := pool.LocalStatus()
		if err := client.send(&frame{Status: &greeting}); err != nil {
			return nil, err
		}
	}
	pool.count("links_opened")
	pool.running.Start(running, client.run, func(error) {
		pool.count("links_ended")
		if pool.OnLinkLost != nil {
			pool.OnLinkLost(member.Host)
		}
	})
	return client, nil
}

// Dial opens a link to a host unless there is one.
func (pool *Pool) Dial(ctx context.Context, host balsamproxy.HostID) error {
	_, err := pool.link(ctx, host)
	return err
}

func (pool *Pool) connect(ctx context.Context, member balsamproxy.Member) (*websocket.Conn, error) {
	dialer := websocket.Dialer{
		HandshakeTimeout: dialTimeout,
		ReadBufferSize:   bufferBytes,
		WriteBufferSize:  bufferBytes,
		NetDialContext:   (&net.Dialer{Timeout: connectTimeout, Control: boundUnacknowledged}).DialContext,
	}
	if pool.ShouldCompress != nil && pool.ShouldCompress(member) {
		dialer.Subprotocols = []string{compressedProtocol}
	}
	scheme := "ws"
	if pool.TLS != nil {
		scheme = "wss"
		dialer.TLSClientConfig = pool.TLS(member.Host)
	}
	header := http.Header{HeaderHost: {string(pool.Host)}}
	conn, response, err := dialer.DialContext(ctx, scheme+"://"+member.PeerAddress+LinkPath, header)
	if response != nil && response.Body != nil {
		_ = response.Body.Close()
	}
	return conn, err
}

// unacknowledgedMax is how long sent bytes may stay unacknowledged before a
// link ends, in milliseconds: a host without power answers nothing.
const unacknowledgedMax = 2000

func boundUnacknowledged(_, _ string, raw syscall.RawConn) error {
	var failed error
	err := raw.Control(func(descriptor uintptr) {
		failed = unix.SetsockoptInt(int(descriptor), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, unacknowledgedMax)
	})
	return errors.Join(err, failed)
}

func (pool *Pool) count(name string) {
	if pool.Metrics != nil {
		pool.Metrics.Counter(name).Inc(1)
	}
}
