package main

import (
	"bytes"
	"context"
	"crypto/rand"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"sort"
	"strings"
	"time"

	"github.com/google/uuid"

	"balsamproxy"
	"balsamproxy/core/config"
	"balsamproxy/internal/standin/service"
	"balsamproxy/io/operator"
)

const (
	pollInterval = 50 * time.Millisecond
	// requestsPerOrder is the ratio of all requests to orders; the others are
	// reads.
	requestsPerOrder = 5
	// withdrawalLimit is the maximum time for which a withdrawn key may still be
	// accepted.
	withdrawalLimit = 3 * time.Second
)

func randomBytes() [config.SecretBytes]byte {
	var random [config.SecretBytes]byte
	_, _ = rand.Read(random[:])
	return random
}

// demo is the state of one run.
type demo struct {
	cluster         *cluster
	activeSecret    string
	withdrawnSecret string
	counts          map[string]int
	sent            int
	failures        []string
	orders          map[string]bool
}

// runDemo starts a cluster, sends requests before and after a key is withdrawn,
// and prints the results. It returns an error if a check failed.
func runDemo(ctx context.Context, requests int, out io.Writer) error {
	cluster, err := startCluster(ctx)
	if cluster != nil {
		defer cluster.stop()
	}
	if err != nil {
		return err
	}
	demo := &demo{cluster: cluster, activeSecret: newSecret(), withdrawnSecret: newSecret(), counts: map[string]int{}, orders: map[string]bool{}}
	revision, err := demo.apply(ctx, 0, demo.document(true))
	if err != nil {
		return err
	}
	if err := demo.waitReady(ctx); err != nil {
		return err
	}
	demo.sendMixedRequests(ctx, requests/2, demo.withdrawnSecret)
	if err := demo.withdrawKey(ctx, revision); err != nil {
		return err
	}
	demo.sendMixedRequests(ctx, requests-requests/2, demo.activeSecret)
	demo.checkRecordedRequests(ctx)
	return demo.printSummary(out)
}

// document returns the configuration, with the key that is withdrawn later or
// without it.
func (demo *demo) document(includeWithdrawn bool) config.Document {
	keys := []config.Key{{ID: "kept", Digest: config.FormatDigest(demo.activeSecret)}}
	if includeWithdrawn {
		keys = append(keys, config.Key{ID: "dropped", Digest: config.FormatDigest(demo.withdrawnSecret)})
	}
	route := func(id, path, method, target string, priority balsamproxy.Priority, idempotent bool) config.Route {
		return config.Route{
			ID: balsamproxy.RouteID(id), Service: balsamproxy.ServiceID(target), Methods: []string{method}, Path: path,
			Access: config.AccessKeyed, Priority: priority, Idempotent: idempotent, Deadline: 2000,
		}
	}
	return config.Document{
		ClientAccounts: []config.ClientAccount{{ID: "planner", Rate: 50_000, Burst: 50_000, Keys: keys}},
		Routes: []config.Route{
			route("browse", "/venues/", http.MethodGet, "venues", 2, true),
			route("book", "/bookings/", http.MethodPost, "bookings", 8, false),
		},
	}
}

// apply replaces the configuration at the expected revision and returns the new
// revision. It retries while the daemon cannot be reached or answers with status 503.
func (demo *demo) apply(ctx context.Context, expected balsamproxy.Revision, document config.Document) (balsamproxy.Revision, error) {
	data, err := json.Marshal(document)
	if err != nil {
		return 0, err
	}
	address := "http://" + demo.cluster.hosts[0].settings.OperatorAddress + operator.ConfigPath + "?revision=" + expected.String()
	for {
		status, body, err := demo.send(ctx, http.MethodPut, address, demo.cluster.token, bytes.NewReader(data), "")
		if err == nil && status == http.StatusOK {
			var accepted operator.Accepted
			err := json.Unmarshal(body, &accepted)
			return accepted.Revision, err
		}
		if err == nil && status != http.StatusServiceUnavailable {
			return 0, fmt.Errorf("configuration rejected: HTTP status %d: %s", status, body)
		}
		if err := waitPollInterval(ctx); err != nil {
			return 0, err
		}
	}
}

func waitPollInterval(ctx context.Context) error {
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-time.After(pollInterval):
		return nil
	}
}

func (demo *demo) send(ctx context.Context, method, address, secret string, body io.Reader, key string) (int, []byte, error) {
	request, err := http.NewRequestWithContext(ctx, method, address, body)
	if err != nil {
		return 0, nil, err
	}
	request.Header.Set("Authorization", "Bearer "+secret)
	if key != "" {
		request.Header.Set("Idempotency-Key", key)
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return 0, nil, err
	}
	defer func() { _ = response.Body.Close() }()
	data, err := io.ReadAll(response.Body)
	return response.StatusCode, data, err
}

// waitReady waits until each daemon answers a read with status 200.
func (demo *demo) waitReady(ctx context.Context) error {
	for _, host := range demo.cluster.hosts {
		for {
			status, _, err := demo.browse(ctx, host, demo.activeSecret)
			if err == nil && status == http.StatusOK {
				break
			}
			if err := waitPollInterval(ctx); err != nil {
				return fmt.Errorf("%s is not ready: HTTP status %d: %w", host.settings.Host, status, err)
			}
		}
	}
	return nil
}

func (demo *demo) browse(ctx context.Context, host host, secret string) (int, []byte, error) {
	address := "http://" + host.settings.CallerAddress + "/venues/riverside?day=1"
	return demo.send(ctx, http.MethodGet, address, secret, nil, "")
}

// sendMixedRequests sends reads and orders to the daemons in round-robin order.
func (demo *demo) sendMixedRequests(ctx context.Context, count int, secret string) {
	for range count {
		demo.sent++
		host := demo.cluster.hosts[demo.sent%len(demo.cluster.hosts)]
		kind := "read"
		var status int
		var err error
		if demo.sent%requestsPerOrder == 0 {
			kind = "order"
			status, err = demo.order(ctx, host, secret)
		} else {
			status, _, err = demo.browse(ctx, host, secret)
		}
		demo.counts[fmt.Sprintf("%s requests with HTTP status %d", kind, status)]++
		if err != nil || status != http.StatusOK {
			demo.failures = append(demo.failures, fmt.Sprintf("%s request %d: HTTP status %d, error %v", kind, demo.sent, status, err))
		}
	}
}

// order sends an order with a new idempotency key and records it if it
// succeeded.
func (demo *demo) order(ctx context.Context, host host, secret string) (int, error) {
	key := uuid.Must(uuid.NewV7()).String()
	address := "http://" + host.settings.CallerAddress + "/bookings/" + key
	status, _, err := demo.send(ctx, http.MethodPost, address, secret, strings.NewReader("{}"), key)
	if err == nil && status == http.StatusOK {
		demo.orders["/bookings/"+key] = true
	}
	return status, err
}

// withdrawKey removes a key from the configuration and waits until every daemon
// rejects it. A daemon that still accepts it after withdrawalLimit is a failure.
func (demo *demo) withdrawKey(ctx context.Context, revision balsamproxy.Revision) error {
	start := time.Now()
	if _, err := demo.apply(ctx, revision, demo.document(false)); err != nil {
		return err
	}
	for _, host := range demo.cluster.hosts {
		for {
			status, _, err := demo.browse(ctx, host, demo.withdrawnSecret)
			if err == nil && status == http.StatusUnauthorized {
				break
			}
			if time.Since(start) > withdrawalLimit {
				demo.failures = append(demo.failures, fmt.Sprintf("%s still accepts the withdrawn key", host.settings.Host))
				break
			}
			if err := waitPollInterval(ctx); err != nil {
				return err
			}
		}
	}
	demo.counts[fmt.Sprintf("ms until all daemons rejected the withdrawn key: %d", time.Since(start).Milliseconds())] = 1
	return nil
}

// checkRecordedRequests checks, in the requests that the targets recorded, that
// each successful order ran exactly once and that no target received a key.
func (demo *demo) checkRecordedRequests(ctx context.Context) {
	runs := map[string]int{}
	for _, host := range demo.cluster.hosts {
		_, data, err := demo.send(ctx, http.MethodGet, "http://"+host.target.Address+"/standin/ledger", "", nil, "")
		var ledger []service.RecordedRequest
		if err := errors.Join(err, json.Unmarshal(data, &ledger)); err != nil {
			demo.failures = append(demo.failures, "recorded requests: "+err.Error())
		}
		if bytes.Contains(data, []byte(demo.activeSecret)) || bytes.Contains(data, []byte(demo.withdrawnSecret)) {
			demo.failures = append(demo.failures, host.target.ID+" received a client account key")
		}
		for _, entry := range ledger {
			if host.target.Service == "bookings" {
				runs[entry.URL]++
			}
		}
	}
	for order := range demo.orders {
		if runs[order] != 1 {
			demo.failures = append(demo.failures, fmt.Sprintf("order %s ran %d times, want 1", order, runs[order]))
		}
	}
	demo.counts["orders run exactly once"] = len(demo.orders)
}

func (demo *demo) printSummary(out io.Writer) error {
	lines := make([]string, 0, len(demo.counts))
	for name, count := range demo.counts {
		lines = append(lines, fmt.Sprintf("%6d  %s", count, name))
	}
	sort.Strings(lines)
	fmt.Fprintln(out, strings.Join(lines, "\n"))
	if len(demo.failures) > 0 {
		return fmt.Errorf("%d checks failed:\n%s", len(demo.failures), strings.Join(demo.failures, "\n"))
	}
	fmt.Fprintln(out, "all checks passed")
	return nil
}
