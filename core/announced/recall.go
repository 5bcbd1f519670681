package announced

import (
	"slices"

	"balsamproxy"
)

// Recollection is what a peer remembers of the earlier run of a daemon.
type Recollection struct {
	// Known is set if the peer had a link to that run. Targets are those that accepted
	// calls as far as it knows.
	Known   bool
	Targets []balsamproxy.TargetID
	// Records are those that the earlier run could not write to the store.
	Records []Record
}

// Knowing returns how many peers had a link to the earlier run.
func Knowing(recollections []Recollection) int {
	knowing := 0
	for _, recollection := range recollections {
		if recollection.Known {
			knowing++
		}
	}
	return knowing
}

// RecollectionSuffices reports whether a daemon that starts need not ask more peers: at
// least wanted have answered and one of them knows the earlier run, or at least most have
// answered. Others may know it if some daemons were started again at the same time.
func RecollectionSuffices(recollections []Recollection, wanted, most int) bool {
	answered := len(recollections)
	return answered >= most || answered >= wanted && Knowing(recollections) > 0
}

// Confirmed returns the targets of stored records that are still believed to accept
// calls. It answers daemons that restart beside targets that go on serving, or that left
// while the store did not take the record: the stored state is believed only if a peer
// that heard of the earlier run confirms it, and no peer has heard of a later state.
// Without such a peer, all daemons may have been killed in an outage of the store, and
// with them the only copies of a leaving that was acknowledged. Then only the target
// itself can tell, by its next announcement.
func Confirmed(stored []Record, recollections []Recollection) []balsamproxy.TargetID {
	if Knowing(recollections) == 0 {
		return nil
	}
	for _, recollection := range recollections {
		stored = MergeRecords(stored, recollection.Records)
	}
	var confirmed []balsamproxy.TargetID
	for _, record := range stored {
		if record.Leaving() {
			continue
		}
		missing := func(recollection Recollection) bool {
			return recollection.Known && !slices.Contains(recollection.Targets, record.Target.ID)
		}
		if !slices.ContainsFunc(recollections, missing) {
			confirmed = append(confirmed, record.Target.ID)
		}
	}
	return confirmed
}

// MergeRecords returns the later record of each target, in the order of first
// appearance. The order of the arguments does not matter for the state of a target.
func MergeRecords(left, right []Record) []Record {
	merged := slices.Clone(left)
	for _, record := range right {
		index := slices.IndexFunc(merged, func(other Record) bool { return other.Target.ID == record.Target.ID })
		switch {
		case index < 0:
			merged = append(merged, record)
		case record.supersedes(merged[index]):
			merged[index] = record
		}
	}
	return merged
}

// supersedes reports whether a record is of a later start of the target than another one,
// or a later state of the same start. A target that leaves does not come back before it
// is started again.
func (record Record) supersedes(other Record) bool {
	if record.Born != other.Born {
		return record.Born > other.Born
	}
	if record.Leaving() != other.Leaving() {
		return record.Leaving()
	}
	if record.Withdrawn != other.Withdrawn {
		return record.Withdrawn
	}
	return record.Sequence > other.Sequence
}

// Leaving reports whether the target receives no calls until it restarts.
func (record Record) Leaving() bool {
	return record.Withdrawn || record.Target.State == balsamproxy.TargetDraining
}
