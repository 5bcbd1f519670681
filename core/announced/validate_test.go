package announced_test

import (
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"balsamproxy/core/announced"
)

// TestParseRecords guards against an odd record that makes a daemon which starts again
// forget the other targets: one that was leaving would be in use again.
func TestParseRecords(t *testing.T) {
	const leaving = `{"target":{"id":"a","service":"s","address":"127.0.0.1:9","slots":4,"state":"draining"},"born":1,"sequence":2}`
	cases := map[string]struct {
		odd   string
		valid bool
	}{
		"withdrawn before it was known": {`{"target":{"id":"b"},"born":1,"withdrawn":true}`, true},
		"no object":                     {`7`, false},
		"nested deeply":                 {strings.Repeat("[", 5000) + strings.Repeat("]", 5000), false},
		"slots below zero":              {`{"target":{"id":"b","service":"s","address":"127.0.0.1:9","slots":-4}}`, false},
		"number out of range":           {`{"target":{"id":"b","service":"s","address":"127.0.0.1:9","slots":1e400}}`, false},
		"port out of range":             {`{"target":{"id":"b","service":"s","address":"127.0.0.1:99999","slots":4}}`, false},
		"start in the far future":       {`{"target":{"id":"b","service":"s","address":"127.0.0.1:9","slots":4},"born":9223372036854775807}`, false},
		"no id":                         {`{"target":{"service":"s","address":"127.0.0.1:9","slots":4}}`, false},
	}
	for name, test := range cases {
		t.Run(name, func(t *testing.T) {
			records, err := announced.ParseRecords([]byte("["+test.odd+","+leaving+"]"), start)
			assert.Equal(t, err == nil, test.valid, "%v", err)
			assert.Equal(t, len(records) == 2, test.valid)
			var table announced.Table
			table.Restore(records, start)
			state, found := table.State("a")
			assert.Assert(t, found && state.Leaving)
		})
	}
	_, err := announced.ParseRecords([]byte("{"), start)
	assert.ErrorIs(t, err, announced.ErrInvalid)
}
