package store

import (
	"testing"

	"github.com/rs/zerolog"
	"gotest.tools/v3/assert"

	"balsamproxy"
	"balsamproxy/core/config"
	"balsamproxy/core/membership"
	"balsamproxy/core/standing"
)

func newDocuments() *Documents {
	return &Documents{
		Prefix:      "/p/",
		Config:      &config.Current{},
		Standing:    &standing.Standing{Host: "a"},
		UpdateHomes: func([]byte, balsamproxy.Revision) error { return nil },
		Log:         zerolog.Nop(),
	}
}

// TestDocumentsNeverGoBack guards against replacing a document by an older or
// invalid one, which a delayed watch, a restored store or an outdated peer may
// deliver.
func TestDocumentsNeverGoBack(t *testing.T) {
	valid, invalid := []byte(`{}`), []byte(`{"rotes":[]}`)
	type offer struct {
		value    []byte
		revision balsamproxy.Revision
	}
	cases := map[string]struct {
		offers []offer
		want   balsamproxy.Revision
	}{
		"in order":            {[]offer{{valid, 3}, {valid, 5}}, 5},
		"out of order":        {[]offer{{valid, 5}, {valid, 3}}, 5},
		"same revision":       {[]offer{{valid, 5}, {valid, 5}}, 5},
		"invalid is ignored":  {[]offer{{valid, 5}, {invalid, 7}}, 5},
		"valid after invalid": {[]offer{{valid, 5}, {invalid, 7}, {valid, 8}}, 8},
	}
	for name, test := range cases {
		t.Run(name, func(t *testing.T) {
			documents := newDocuments()
			for _, offer := range test.offers {
				documents.Update(balsamproxy.StoreEntry{Key: documents.Key(DocumentConfig), Value: offer.value, Revision: offer.revision})
			}
			assert.Equal(t, documents.Config.Index().Revision(), test.want)
			assert.Equal(t, documents.Standing.Held().Config, test.want)
		})
	}
}

// FuzzStoreValues passes arbitrary values to every decoder of store records.
func FuzzStoreValues(f *testing.F) {
	f.Add([]byte(`{"host":"a","targets":[{"id":"t","service":"s"}]}`))
	f.Add([]byte(`{"hosts":["a"],"changed":"a","added":true}`))
	f.Fuzz(func(_ *testing.T, value []byte) {
		documents := newDocuments()
		for _, name := range []DocumentName{DocumentConfig, DocumentRoster, DocumentHomes, "other"} {
			documents.Update(balsamproxy.StoreEntry{Key: documents.Key(name), Value: value, Revision: 1})
		}
		follower := &MemberFollower{Prefix: "/m/", Table: &membership.Table{}, Log: zerolog.Nop()}
		follower.apply(balsamproxy.StoreEvent{Entry: balsamproxy.StoreEntry{Key: "/m/a", Value: value, Revision: 1}})
		follower.apply(balsamproxy.StoreEvent{Deleted: true, Entry: balsamproxy.StoreEntry{Key: "/m/a", Revision: 2}})
	})
}
