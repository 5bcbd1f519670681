package store

import (
	"context"
	"encoding/json"
	"strings"

	"github.com/rs/zerolog"

	"balsamproxy"
	"balsamproxy/core/membership"
)

// MembersPrefix returns the key prefix of the member records.
func MembersPrefix(prefix string) balsamproxy.StoreKey {
	return balsamproxy.StoreKey(prefix + "members/")
}

// MemberKey returns the key of the record of one member.
func MemberKey(prefix string, host balsamproxy.HostID) balsamproxy.StoreKey {
	return MembersPrefix(prefix) + balsamproxy.StoreKey(host)
}

// MemberFollower synchronizes a membership table with the member records in
// the store. During an outage of the store the table keeps its contents.
type MemberFollower struct {
	Store  balsamproxy.Store
	Prefix balsamproxy.StoreKey
	Table  *membership.Table
	Log    zerolog.Logger
}

// Run follows the member records until ctx is done.
func (follower *MemberFollower) Run(ctx context.Context) error {
	return follow(ctx, follower.Store, follower.Prefix, follower)
}

func (follower *MemberFollower) replace(snapshot balsamproxy.StoreSnapshot) {
	members := []balsamproxy.Member{}
	revisions := []balsamproxy.Revision{}
	for _, entry := range snapshot.Entries {
		if member, ok := follower.decode(entry); ok {
			members = append(members, member)
			revisions = append(revisions, entry.Revision)
		}
	}
	follower.Table.ApplySnapshot(members, revisions, snapshot.Revision)
}

func (follower *MemberFollower) apply(event balsamproxy.StoreEvent) {
	if event.Deleted {
		host := balsamproxy.HostID(strings.TrimPrefix(string(event.Entry.Key), string(follower.Prefix)))
		if follower.Table.Remove(host, event.Entry.Revision) {
			follower.Log.Info().Str("member", string(host)).Msg("member gone")
		}
		return
	}
	if member, ok := follower.decode(event.Entry); ok {
		follower.Table.Put(member, event.Entry.Revision)
	}
}

func (follower *MemberFollower) decode(entry balsamproxy.StoreEntry) (balsamproxy.Member, bool) {
	var member balsamproxy.Member
	err := json.Unmarshal(entry.Value, &member)
	wantKey := follower.Prefix + balsamproxy.StoreKey(member.Host)
	if err != nil || wantKey != entry.Key {
		follower.Log.Error().Str("key", string(entry.Key)).Msg("member record is invalid")
		return member, false
	}
	return member, true
}
