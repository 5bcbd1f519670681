package etcd

import (
	"context"
	"errors"
	"time"

	"github.com/rotisserie/eris"

	"balsamproxy"
)

// Swap writes a value by compare-and-swap. A lost answer is settled by sending
// the same swap again: it succeeds at most once, and the token in the value
// shows whether it was this one.
func (client *Client) Swap(ctx context.Context, swap balsamproxy.StoreSwap) (balsamproxy.Revision, error) {
	token := newWriteToken()
	request := swapRequest(swap, token)
	unsettled := false
	var err error
	for range swapTries {
		var response txnResponse
		err = client.call(ctx, "/v3/kv/txn", request, &response)
		if err == nil {
			return settleSwap(response, token, unsettled)
		}
		if errors.Is(err, balsamproxy.ErrStoreLeaseLost) && !unsettled {
			return 0, err
		}
		unsettled = unsettled || errors.Is(err, balsamproxy.ErrStoreOutcomeUnknown)
		if ctx.Err() != nil {
			break
		}
	}
	if unsettled {
		return 0, eris.Wrap(balsamproxy.ErrStoreOutcomeUnknown, err.Error())
	}
	return 0, err
}

func swapRequest(swap balsamproxy.StoreSwap, token writeToken) txnRequest {
	key := []byte(swap.Key)
	put := putRequest{Key: key, Value: sealValue(token, swap.Value), Lease: swap.Lease}
	return txnRequest{
		Compare: []compare{{Result: "EQUAL", Target: "MOD", Key: key, ModRevision: swap.Expected}},
		Success: []operation{{Put: &put}},
		Failure: []operation{{Range: &rangeRequest{Key: key}}},
	}
}

// settleSwap tells the outcome of a swap from its answer. A conflict after a
// lost answer is settled only if the value that stands is the swap's own.
func settleSwap(response txnResponse, token writeToken, unsettled bool) (balsamproxy.Revision, error) {
	if response.Succeeded {
		return response.Header.Revision, nil
	}
	for _, operation := range response.Responses {
		if operation.Range == nil || len(operation.Range.Entries) == 0 {
			continue
		}
		standing := operation.Range.Entries[0]
		if found, _ := openValue(standing.Value); found == token {
			return standing.ModRevision, nil
		}
	}
	if unsettled {
		return 0, eris.Wrap(balsamproxy.ErrStoreOutcomeUnknown, "answer lost, and the key has changed since")
	}
	return 0, eris.Wrap(balsamproxy.ErrStoreConflict, "the key has changed")
}

// Grant creates a lease. The time to live is rounded up to whole seconds.
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

// Revoke ends a lease and deletes its keys.
func (client *Client) Revoke(ctx context.Context, lease balsamproxy.LeaseID) error {
	return client.call(ctx, "/v3/lease/revoke", leaseRequest{ID: lease}, &revokeResponse{})
}
