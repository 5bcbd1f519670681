package store

import (
	"context"
	"time"

	"balsamproxy"
	"balsamproxy/core/config"
	"balsamproxy/core/strictjson"
)

// ConfigEditor reads and replaces the configuration document in the store.
type ConfigEditor struct {
	Store balsamproxy.Store
	Key   balsamproxy.StoreKey
}

const editTimeout = 5 * time.Second

// Read returns the stored document and its revision, or revision zero if there
// is none.
func (editor ConfigEditor) Read(ctx context.Context) ([]byte, balsamproxy.Revision, error) {
	ctx, cancel := context.WithTimeout(ctx, editTimeout)
	defer cancel()
	entry, err := editor.Store.Get(ctx, editor.Key)
	if isNotFound(err) {
		return nil, 0, nil
	}
	return entry.Value, entry.Revision, err
}

// Apply replaces the document if its revision is still the one that the
// operator saw. If the new document is invalid it returns its faults. The
// error is one of the store.
func (editor ConfigEditor) Apply(ctx context.Context, data []byte, seen balsamproxy.Revision) (balsamproxy.Revision, strictjson.Faults, error) {
	ctx, cancel := context.WithTimeout(ctx, editTimeout)
	defer cancel()
	if _, faults := config.Parse(data); len(faults) > 0 {
		return 0, faults, nil
	}
	revision, err := editor.Store.Swap(ctx, balsamproxy.StoreSwap{Key: editor.Key, Value: data, Expected: seen})
	return revision, nil, err
}
