package caller

import (
	"net/http"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"balsamproxy/core/config"
)

// FuzzTakeKey checks that no secret is left in the header or the query of a
// request.
func FuzzTakeKey(f *testing.F) {
	secret := config.NewSecret([config.SecretBytes]byte{7})
	f.Add("Bearer "+secret, "Cookie", "a="+secret, "x=1&key="+secret)
	f.Add("bearer x", "X-A", "%62pk_", "&&=")
	f.Fuzz(func(t *testing.T, authorization, name, value, query string) {
		header := http.Header{"Authorization": {authorization}}
		header[name] = append(header[name], value)
		extractKey(header)
		assert.Equal(t, header.Get("Authorization"), "")
		for left, values := range header {
			assert.Assert(t, !config.ContainsSecret(left+strings.Join(values, "\n")))
		}
		assert.Assert(t, !config.ContainsSecret(cleanQuery(query)))
	})
}

func TestCleanQueryKeepsTheRest(t *testing.T) {
	secret := config.NewSecret([config.SecretBytes]byte{7})
	cases := map[string]struct{ query, want string }{
		"empty":        {"", ""},
		"no secret":    {"b=2&a=1&b", "b=2&a=1&b"},
		"secret value": {"a=1&k=" + secret + "&b=2", "a=1&b=2"},
		"secret name":  {secret + "=1&b=2", "b=2"},
		"escaped":      {"k=" + strings.ReplaceAll(secret, "bpk", "%62%70%6b") + "&b=2", "b=2"},
		"malformed":    {"a=%zz", "a=%zz"},
	}
	for name, test := range cases {
		t.Run(name, func(t *testing.T) { assert.Equal(t, cleanQuery(test.query), test.want) })
	}
}
