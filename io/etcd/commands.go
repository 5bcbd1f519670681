package etcd

import (
	"context"
	"errors"
	"time"

	"github.com/rotisserie/eris"

	"balsamproxy"
)

// Swap writes a value by compare-and-swap. If a response is lost, Swap resends the
// same transaction: it succeeds at most once, and the token in the stored value
// shows whether this swap wrote it.
func (client *Client) Swap(ctx context.Context, swap balsamproxy.StoreSwap) (balsamproxy.Revision, error) {
	token := newWriteToken()
	request := swapRequest(swap, token)
	ambiguous := false
	var err error
	for range swapAttempts {
		var response txnResponse
		err = client.call(ctx, "/v3/kv/txn", request, &response)
		if err == nil {
			return swapOutcome(response, token, ambiguous)
		}
		if errors.Is(err, balsamproxy.ErrStoreLeaseLost) && !ambiguous {
			return 0, err
		}
		ambiguous = ambiguous || errors.Is(err, balsamproxy.ErrStoreOutcomeUnknown)
		if ctx.Err() != nil {
			break
		}
	}
	if ambiguous {
		return 0, eris.Wrap(balsamproxy.ErrStoreOutcomeUnknown, err.Error())
	}
	return 0, err
}

func swapRequest(swap balsamproxy.StoreSwap, token writeToken) txnRequest {
	key := []byte(swap.Key)
	put := putRequest{Key: key, Value: encodeValue(token, swap.Value), Lease: swap.Lease}
	return txnRequest{
		Compare: []compare{{Result: "EQUAL", Target: "MOD", Key: key, ModRevision: swap.Expected}},
		Success: []operation{{Put: &put}},
		Failure: []operation{{Range: &rangeRequest{Key: key}}},
	}
}

// swapOutcome determines the outcome of a swap from its response. A conflict
// counts as success if the stored value carries the token of this swap. Otherwise,
// if an earlier response was lost, the outcome is unknown: the swap may have
// succeeded and been overwritten since.
func swapOutcome(response txnResponse, token writeToken, ambiguous bool) (balsamproxy.Revision, error) {
	if response.Succeeded {
		return response.Header.Revision, nil
	}
	for _, operation := range response.Responses {
		if operation.Range == nil || len(operation.Range.Entries) == 0 {
			continue
		}
		stored := operation.Range.Entries[0]
		if found, _ := decodeValue(stored.Value); found == token {
			return stored.ModRevision, nil
		}
	}
	if ambiguous {
		return 0, eris.Wrap(balsamproxy.ErrStoreOutcomeUnknown, "answer lost, and the key has changed since")
	}
	return 0, eris.Wrap(balsamproxy.ErrStoreConflict, "the key has changed")
}

// Grant creates a lease, rounding its time to live up to whole seconds.
func (client *Client) Grant(ctx context.Context, timeToLive time.Duration) (balsamproxy.LeaseID, error) {
	seconds := int64((timeToLive + time.Second - 1) / time.Second)
	var response leaseGrantResponse
	err := client.call(ctx, "/v3/lease/grant", leaseGrantRequest{TTL: seconds}, &response)
	return response.ID, readError(err)
}

// KeepAlive renews a lease.
func (client *Client) KeepAlive(ctx context.Context, lease balsamproxy.LeaseID) error {
	var response keepAliveResponse
	err := client.call(ctx, "/v3/lease/keepalive", leaseRequest{ID: lease}, &response)
	if err != nil {
		return readError(err)
	}
	if response.Result.TTL <= 0 {
		return eris.Wrap(balsamproxy.ErrStoreLeaseLost, "lease lapsed")
	}
	return nil
}

// Revoke revokes a lease, which deletes its keys.
func (client *Client) Revoke(ctx context.Context, lease balsamproxy.LeaseID) error {
	return client.call(ctx, "/v3/lease/revoke", leaseRequest{ID: lease}, &revokeResponse{})
}
