// Package shard provides a concurrent map that is divided into shards, each
// with its own lock.
package shard

import (
	"sync"

	"github.com/cespare/xxhash/v2"
)

// Count is the number of shards of a Map.
const Count = 64

// Map is a sharded map, safe for concurrent use. Its zero value is an empty
// map.
type Map[K ~string, V any] struct {
	shards [Count]shard[K, V]
}

type shard[K ~string, V any] struct {
	sync.Mutex
	values map[K]V
}

func (m *Map[K, V]) shard(key K) *shard[K, V] {
	return &m.shards[xxhash.Sum64String(string(key))%Count]
}

// Get returns the value of a key.
func (m *Map[K, V]) Get(key K) (V, bool) {
	shard := m.shard(key)
	shard.Lock()
	defer shard.Unlock()
	value, found := shard.values[key]
	return value, found
}

// Put sets the value of a key.
func (m *Map[K, V]) Put(key K, value V) {
	shard := m.shard(key)
	shard.Lock()
	defer shard.Unlock()
	shard.put(key, value)
}

func (shard *shard[K, V]) put(key K, value V) {
	if shard.values == nil {
		shard.values = map[K]V{}
	}
	shard.values[key] = value
}

// Delete removes a key.
func (m *Map[K, V]) Delete(key K) {
	shard := m.shard(key)
	shard.Lock()
	defer shard.Unlock()
	delete(shard.values, key)
}

// Update sets the value of a key to the result of calling update with its
// current value, or with the zero value if there is none. It holds the lock of
// the key's shard during the call.
func (m *Map[K, V]) Update(key K, update func(V) V) {
	shard := m.shard(key)
	shard.Lock()
	defer shard.Unlock()
	shard.put(key, update(shard.values[key]))
}

// DeleteIf removes a key if condition holds for its value.
func (m *Map[K, V]) DeleteIf(key K, condition func(V) bool) {
	shard := m.shard(key)
	shard.Lock()
	defer shard.Unlock()
	if value, found := shard.values[key]; found && condition(value) {
		delete(shard.values, key)
	}
}

// Each calls visit for every key and value, holding the lock of one shard at a
// time. The visit function must not use the map.
func (m *Map[K, V]) Each(visit func(K, V)) {
	for index := range m.shards {
		m.shards[index].each(visit)
	}
}

func (shard *shard[K, V]) each(visit func(K, V)) {
	shard.Lock()
	defer shard.Unlock()
	for key, value := range shard.values {
		visit(key, value)
	}
}
