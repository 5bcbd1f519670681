// Package peer implements the transport between daemons. Each daemon dials at
// most one WebSocket connection, a link, to every other daemon and multiplexes
// calls to targets and questions over it as CBOR frames.
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
	// LinkPath is the URL path of the link endpoint.
	LinkPath = "/balsamproxy/v1/link"
	// HeaderHost is the header field with the id of the dialling host.
	HeaderHost = "Balsam-Host"

	dialTimeout = time.Second
	// connectTimeout bounds the TCP handshake. The kernel retransmits a lost
	// SYN only after a second; dialling again is faster.
	connectTimeout = 300 * time.Millisecond
	// dialWaitTimeout bounds how long a call waits for the dial of another call.
	dialWaitTimeout = 100 * time.Millisecond
	// dialBackOffMin is the delay after a failed dial. It doubles with each
	// consecutive failure, at most dialDoublingsMax times.
	dialBackOffMin   = 200 * time.Millisecond
	dialDoublingsMax = 4
	bufferBytes      = 32 << 10
	probeInterval    = 500 * time.Millisecond
	missedProbesMax  = 3
)

// Pool manages the links that this daemon dials. Its exported fields must be set
// before first use. It dials only while Run is running.
type Pool struct {
	// Host is the id of this host.
	Host balsamproxy.HostID
	// Directory resolves the addresses of other hosts.
	Directory balsamproxy.MemberFinder
	// TLS returns the TLS configuration for a host; nil disables TLS.
	TLS func(host balsamproxy.HostID) *tls.Config
	// LocalStatus returns the status of this daemon that is sent when a link
	// opens. If nil, no status is sent.
	LocalStatus func() balsamproxy.Status
	// OnStatus is called with each status that a peer sends; OnLinkLost is
	// called when the link to a host has ended. Both may be nil.
	OnStatus   func(balsamproxy.Status)
	OnLinkLost func(host balsamproxy.HostID)
	// OnHostMismatch is called with the id of a host at whose address another
	// host responded; it may be nil.
	OnHostMismatch func(host balsamproxy.HostID)
	// ShouldCompress reports whether to compress the link to a host; nil
	// disables compression.
	ShouldCompress func(member balsamproxy.Member) bool
	// Metrics counts opened and ended links; nil disables metrics.
	Metrics tally.Scope

	links   sync.Map // balsamproxy.HostID -> *hostLink
	running task.Group
	readers readerPool
	mutex   sync.Mutex
	context context.Context
	started chan struct{}
}

// Run allows the pool to dial until ctx is done, probes its links meanwhile, and
// then waits for all links to end.
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

// WaitRunning blocks until Run has started.
func (pool *Pool) WaitRunning() { <-pool.startedChannel() }

func (pool *Pool) probe(now time.Time) {
	pool.links.Range(func(_, value any) bool {
		if hostLink, ok := value.(*hostLink); ok {
			hostLink.probe(now)
		}
		return true
	})
}

func (pool *Pool) runContext() context.Context {
	pool.mutex.Lock()
	defer pool.mutex.Unlock()
	return pool.context
}

// link returns the usable link to a host, dialling if there is none.
func (pool *Pool) link(ctx context.Context, host balsamproxy.HostID) (*clientLink, error) {
	member, known := pool.Directory.Member(host)
	if !known {
		return nil, eris.Wrap(ErrUnreachable, "host is not known")
	}
	hostLink := pool.entry(host)
	if link, usable := hostLink.current(member.PeerAddress); usable {
		return link, nil
	}
	if err := hostLink.acquireDial(ctx); err != nil {
		return nil, err
	}
	defer func() { hostLink.dialToken <- struct{}{} }()
	if link, usable := hostLink.current(member.PeerAddress); usable {
		return link, nil
	}
	if hostLink.backingOff(time.Now()) {
		return nil, eris.Wrap(ErrUnreachable, "dials failed a moment ago")
	}
	link, err := pool.dial(ctx, member)
	if err != nil {
		hostLink.recordFailure(time.Now())
		return nil, err
	}
	hostLink.setLink(link, member.PeerAddress)
	return link, nil
}

func (pool *Pool) entry(host balsamproxy.HostID) *hostLink {
	if entry, found := pool.links.Load(host); found {
		hostLink, _ := entry.(*hostLink)
		return hostLink
	}
	entry, _ := pool.links.LoadOrStore(host, newHostLink())
	hostLink, _ := entry.(*hostLink)
	return hostLink
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
	client.onStatus = func(status balsamproxy.Status) {
		if status.Host != member.Host {
			// The address now belongs to another daemon.
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

// Dial opens a link to a host unless a usable one exists.
func (pool *Pool) Dial(ctx context.Context, host balsamproxy.HostID) error {
	_, err := pool.link(ctx, host)
	return err
}

func (pool *Pool) connect(ctx context.Context, member balsamproxy.Member) (*websocket.Conn, error) {
	dial, finish := limitHandshake(&net.Dialer{Timeout: connectTimeout, Control: setTCPUserTimeout})
	dialer := websocket.Dialer{
		HandshakeTimeout: dialTimeout,
		ReadBufferSize:   bufferBytes,
		WriteBufferSize:  bufferBytes,
		NetDialContext:   dial,
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
	finish()
	return conn, err
}

// userTimeoutMs is the TCP_USER_TIMEOUT of a link: the time that sent bytes may
// stay unacknowledged before the kernel closes the connection. It detects hosts
// that lost power, which send no reset.
const userTimeoutMs = 2000

func setTCPUserTimeout(_, _ string, raw syscall.RawConn) error {
	var failed error
	err := raw.Control(func(descriptor uintptr) {
		failed = unix.SetsockoptInt(int(descriptor), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, userTimeoutMs)
	})
	return errors.Join(err, failed)
}

func (pool *Pool) count(name string) {
	if pool.Metrics != nil {
		pool.Metrics.Counter(name).Inc(1)
	}
}
