// Package etcd implements balsamproxy.Store over the JSON gateway of etcd v3, the
// platform's store.
package etcd

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"
	"github.com/uber-go/tally/v4"

	"balsamproxy"
)

const (
	// requestTimeout bounds one request to one server of the store.
	requestTimeout = time.Second
	// responseMax bounds the size of one response. The store holds values of up
	// to a megabyte, and base64 adds a third.
	responseMax = 64 << 20
	// swapAttempts bounds how often a swap is sent until its outcome is known.
	swapAttempts = 3

	messageLeaseNotFound = "lease not found"
)

// Client is a client of the store. Addresses must be set. It uses one server and
// switches to the next when a request fails.
type Client struct {
	// Addresses are the base URLs of the store's servers.
	Addresses []string
	// HTTP is the HTTP client; nil means http.DefaultClient.
	HTTP *http.Client
	// Metrics counts requests; nil disables metrics.
	Metrics tally.Scope

	preferred atomic.Uint32
}

var _ balsamproxy.Store = (*Client)(nil)

func (client *Client) httpClient() *http.Client {
	if client.HTTP == nil {
		return http.DefaultClient
	}
	return client.HTTP
}

func (client *Client) count(operation string) {
	if client.Metrics == nil {
		return
	}
	client.Metrics.Tagged(map[string]string{"operation": operation}).Counter("store_calls").Inc(1)
}

// address returns the current server address and a function that switches to the
// next one.
func (client *Client) address() (string, func()) {
	index := client.preferred.Load()
	next := func() { client.preferred.CompareAndSwap(index, index+1) }
	return client.Addresses[int(index)%len(client.Addresses)], next
}

// call posts one message and decodes the response. Its errors wrap the
// balsamproxy.ErrStore errors.
func (client *Client) call(ctx context.Context, path string, request, response any) error {
	ctx, cancel := context.WithTimeout(ctx, requestTimeout)
	defer cancel()
	client.count(path)
	body, next, err := client.post(ctx, path, request)
	if err != nil {
		return err
	}
	defer closeBody(body)
	data, err := io.ReadAll(io.LimitReader(body, responseMax))
	if err != nil {
		next()
		return eris.Wrap(balsamproxy.ErrStoreOutcomeUnknown, err.Error())
	}
	if err := json.Unmarshal(data, response); err != nil {
		next()
		return eris.Wrap(balsamproxy.ErrStoreOutcomeUnknown, err.Error())
	}
	return nil
}

func closeBody(body io.Closer) {
	_ = body.Close()
}

// post sends one message. It returns the body of a response with status 200 and a
// function that switches to the next server.
func (client *Client) post(ctx context.Context, path string, message any) (io.ReadCloser, func(), error) {
	data, err := json.Marshal(message)
	if err != nil {
		return nil, nil, eris.Wrap(balsamproxy.ErrStoreUnavailable, err.Error())
	}
	address, next := client.address()
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, address+path, bytes.NewReader(data))
	if err != nil {
		return nil, nil, eris.Wrap(balsamproxy.ErrStoreUnavailable, err.Error())
	}
	request.Header.Set("Content-Type", "application/json")
	response, err := client.httpClient().Do(request)
	if err != nil {
		next()
		return nil, nil, transportError(err)
	}
	if response.StatusCode != http.StatusOK {
		defer closeBody(response.Body)
		next()
		return nil, nil, statusError(response)
	}
	return response.Body, next, nil
}

// transportError distinguishes a request that was never sent from one whose
// response was lost.
func transportError(err error) error {
	var operation *net.OpError
	if errors.As(err, &operation) && operation.Op == "dial" {
		return eris.Wrap(balsamproxy.ErrStoreUnavailable, err.Error())
	}
	return eris.Wrap(balsamproxy.ErrStoreOutcomeUnknown, err.Error())
}

func statusError(response *http.Response) error {
	data, err := io.ReadAll(io.LimitReader(response.Body, responseMax))
	if err != nil {
		return eris.Wrap(balsamproxy.ErrStoreOutcomeUnknown, err.Error())
	}
	var message errorResponse
	if err := json.Unmarshal(data, &message); err != nil {
		message.Message = response.Status
	}
	if strings.Contains(message.Message+message.Error, messageLeaseNotFound) {
		return eris.Wrap(balsamproxy.ErrStoreLeaseLost, message.Message)
	}
	if response.StatusCode == http.StatusServiceUnavailable || response.StatusCode == http.StatusTooManyRequests {
		return eris.Wrap(balsamproxy.ErrStoreOutcomeUnknown, response.Status)
	}
	return eris.Wrapf(balsamproxy.ErrStoreOutcomeUnknown, "%s: %s", response.Status, message.Message)
}

// readError replaces ErrStoreOutcomeUnknown by ErrStoreUnavailable for requests
// that can be repeated safely.
func readError(err error) error {
	if errors.Is(err, balsamproxy.ErrStoreOutcomeUnknown) {
		return eris.Wrap(balsamproxy.ErrStoreUnavailable, err.Error())
	}
	return err
}
