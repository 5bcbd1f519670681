package suspect

import (
	"encoding/binary"
	"time"
)

const (
	// historySlots is the number of requests whose recent runs are counted.
	historySlots = 8192
	// historyHalfLife is the time after which a run counts for half.
	historyHalfLife = 30 * time.Second
	// maxHistoryRuns keeps a request that was popular from occupying a slot for long.
	maxHistoryRuns = 64
)

// history counts the recent runs of requests that ended well. Requests that share a slot
// compete for it, and the one that runs most often keeps it, so that a page that many
// ask for is not displaced by requests that each come once. Its zero value is empty.
type history struct {
	slots []historySlot
}

type historySlot struct {
	fingerprint Fingerprint
	runs        uint32
	halvedAt    time.Time
}

func (history *history) slot(fingerprint Fingerprint, now time.Time) *historySlot {
	if history.slots == nil {
		history.slots = make([]historySlot, historySlots)
	}
	slot := &history.slots[binary.BigEndian.Uint64(fingerprint[:])%historySlots]
	if halvings := now.Sub(slot.halvedAt) / historyHalfLife; halvings > 0 {
		slot.runs >>= min(uint64(halvings), 32)
		slot.halvedAt = now
	}
	return slot
}

// record counts a run that ended well.
func (history *history) record(fingerprint Fingerprint, now time.Time) {
	slot := history.slot(fingerprint, now)
	switch {
	case slot.fingerprint == fingerprint:
		slot.runs = min(slot.runs+1, maxHistoryRuns)
	case slot.runs > 0:
		slot.runs--
	default:
		slot.fingerprint, slot.runs = fingerprint, 1
	}
}

// runs returns the number of recent runs of a request.
func (history *history) runs(fingerprint Fingerprint, now time.Time) int {
	if slot := history.slot(fingerprint, now); slot.fingerprint == fingerprint {
		return int(slot.runs)
	}
	return 0
}
