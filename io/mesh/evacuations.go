package mesh

import (
	"strings"

	"balsamproxy"
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

// applyEvacuations applies the evacuations in a snapshot of all keys of the operator.
func (follower *configFollower) applyEvacuations(snapshot balsamproxy.StoreSnapshot) {
	if follower.evacuationPrefix == "" {
		return
	}
	var evacuated []balsamproxy.Evacuation
	for _, entry := range snapshot.Entries {
		if dataCentre, found := follower.evacuatedDataCentre(entry.Key); found {
			evacuated = append(evacuated, balsamproxy.Evacuation{DataCentre: dataCentre, Revision: entry.Revision, Evacuated: true})
		}
	}
	if follower.evacuations.Replace(evacuated, snapshot.Revision) {
		follower.evacuationsChanged()
	}
}

// applyEvacuation applies a change of a key of the operator.
func (follower *configFollower) applyEvacuation(event balsamproxy.StoreEvent) {
	if dataCentre, found := follower.evacuatedDataCentre(event.Entry.Key); found {
		follower.mergeEvacuations([]balsamproxy.Evacuation{
			{DataCentre: dataCentre, Revision: event.Entry.Revision, Evacuated: !event.Deleted},
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
