package mesh

import (
	"strings"

	"balsamproxy"
	"balsamproxy/core/era"
)

// watchedPrefix returns the prefix of the keys that the follower reads.
func (follower *configFollower) watchedPrefix() balsamproxy.StoreKey {
	if follower.operatorPrefix == "" {
		return follower.key
	}
	return follower.operatorPrefix
}

// evacuatedDataCentre returns the data centre that a key evacuates, and false if the
// key does not evacuate one.
func (follower *configFollower) evacuatedDataCentre(key balsamproxy.StoreKey) (balsamproxy.DataCentreID, bool) {
	if follower.evacuationPrefix == "" {
		return "", false
	}
	name, found := strings.CutPrefix(string(key), string(follower.evacuationPrefix))
	return balsamproxy.DataCentreID(name), found && name != ""
}

// applyEvacuations applies the evacuations in a snapshot of all keys of the operator,
// read in an era. While the store may lack writes of the operator, a key that is not
// there ends no evacuation.
func (follower *configFollower) applyEvacuations(snapshot balsamproxy.StoreSnapshot, current balsamproxy.StoreEra) {
	if follower.evacuationPrefix == "" {
		return
	}
	var evacuated []balsamproxy.Evacuation
	for _, entry := range snapshot.Entries {
		if dataCentre, found := follower.evacuatedDataCentre(entry.Key); found {
			evacuated = append(evacuated, balsamproxy.Evacuation{DataCentre: dataCentre, Revision: entry.Revision, Evacuated: true, Era: current})
		}
	}
	if follower.lossy.Load() != 0 {
		follower.mergeEvacuations(evacuated)
		return
	}
	if follower.evacuations.Replace(evacuated, era.Position{Era: current, Revision: snapshot.Revision}) {
		follower.evacuationsChanged()
	}
}

// applyEvacuation applies a change of a key of the operator, read in an era.
func (follower *configFollower) applyEvacuation(event balsamproxy.StoreEvent, current balsamproxy.StoreEra) {
	if dataCentre, found := follower.evacuatedDataCentre(event.Entry.Key); found {
		follower.mergeEvacuations([]balsamproxy.Evacuation{
			{DataCentre: dataCentre, Revision: event.Entry.Revision, Evacuated: !event.Deleted, Era: current},
		})
	}
}

// mergeEvacuations applies evacuations that the store or a peer reports.
func (follower *configFollower) mergeEvacuations(entries []balsamproxy.Evacuation) {
	if len(entries) > 0 && follower.evacuations.Merge(entries) {
		follower.evacuationsChanged()
	}
}

// evacuationsChanged logs the evacuated data centres. Readers announce them to all
// peers; other daemons learn of them from the readers.
func (follower *configFollower) evacuationsChanged() {
	names := []string{}
	for _, entry := range follower.evacuations.Entries() {
		if entry.Evacuated {
			names = append(names, string(entry.DataCentre))
		}
	}
	follower.log.Info().Str("event", "evacuations-changed").Strs("evacuated", names).Send()
	if follower.relay.isReader() {
		follower.onChange()
	}
}

// evacuationRecords returns what this daemon knows of evacuations, for its peers.
func (follower *configFollower) evacuationRecords() []balsamproxy.Evacuation {
	return follower.evacuations.Entries()
}
