package etcd

import (
	"context"

	"github.com/rotisserie/eris"

	"balsamproxy"
)

// Get returns the entry of one key.
func (client *Client) Get(ctx context.Context, key balsamproxy.StoreKey) (balsamproxy.StoreEntry, error) {
	response, err := client.fetchRange(ctx, rangeRequest{Key: []byte(key)})
	if err != nil {
		return balsamproxy.StoreEntry{}, err
	}
	if len(response.Entries) == 0 {
		return balsamproxy.StoreEntry{}, eris.Wrap(balsamproxy.ErrStoreNotFound, string(key))
	}
	return newEntry(response.Entries[0]), nil
}

// Revisions returns all keys with a prefix and their revisions, without values.
func (client *Client) Revisions(ctx context.Context, prefix balsamproxy.StoreKey) (balsamproxy.StoreSnapshot, error) {
	return client.snapshot(ctx, rangeRequest{Key: []byte(prefix), RangeEnd: prefixEnd(prefix), KeysOnly: true})
}

// Range returns all entries whose keys have a prefix.
func (client *Client) Range(ctx context.Context, prefix balsamproxy.StoreKey) (balsamproxy.StoreSnapshot, error) {
	return client.snapshot(ctx, rangeRequest{Key: []byte(prefix), RangeEnd: prefixEnd(prefix)})
}

func (client *Client) snapshot(ctx context.Context, request rangeRequest) (balsamproxy.StoreSnapshot, error) {
	response, err := client.fetchRange(ctx, request)
	if err != nil {
		return balsamproxy.StoreSnapshot{}, err
	}
	snapshot := balsamproxy.StoreSnapshot{Revision: response.Header.Revision}
	for _, entry := range response.Entries {
		snapshot.Entries = append(snapshot.Entries, newEntry(entry))
	}
	return snapshot, nil
}

func (client *Client) fetchRange(ctx context.Context, request rangeRequest) (rangeResponse, error) {
	var response rangeResponse
	err := client.call(ctx, "/v3/kv/range", request, &response)
	return response, readError(err)
}

// prefixEnd returns the exclusive end of the range of keys with a prefix. The
// range end "\x00" stands for the end of the key space.
func prefixEnd(prefix balsamproxy.StoreKey) []byte {
	end := []byte(prefix)
	for index := len(end) - 1; index >= 0; index-- {
		if end[index] < 0xff {
			end[index]++
			return end[:index+1]
		}
	}
	return []byte{0}
}

func newEntry(entry wireEntry) balsamproxy.StoreEntry {
	_, value := decodeValue(entry.Value)
	return balsamproxy.StoreEntry{
		Key:      balsamproxy.StoreKey(entry.Key),
		Value:    value,
		Revision: entry.ModRevision,
	}
}
