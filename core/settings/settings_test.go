package settings_test

import (
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"balsamproxy/core/settings"
)

const validSettings = `{
  "host": "cairo-a-1", "data-centre": "cairo-a",
  "caller-address": "10.0.0.1:8080", "peer-address": "10.0.0.1:8082",
  "target-address": "127.0.0.1:8081", "operator-address": "10.0.0.1:8083",
  "store-addresses": ["https://10.0.0.9:2379"],
  "peer-tls": {"certificate-file": "c", "private-key-file": "k", "authority-file": "a"},
  "caller-tls": {"certificate-file": "c", "private-key-file": "k"},
  "operator-tls": {"certificate-file": "c", "private-key-file": "k"}
}`

func TestParse(t *testing.T) {
	replace := func(pairs ...string) string { return strings.NewReplacer(pairs...).Replace(validSettings) }
	cases := map[string]struct {
		settings string
		faults   []string
	}{
		"valid":                             {validSettings, nil},
		"empty":                             {`{}`, []string{"/host", "/data-centre", "/caller-address", "/peer-address", "/target-address", "/operator-address", "/target-address", "/store-addresses", "/peer-tls", "/caller-tls", "/operator-tls"}},
		"unknown field":                     {replace(`"host"`, `"hosst"`), []string{"/hosst"}},
		"host name as address":              {replace(`10.0.0.1:8080`, `example:8080`), []string{"/caller-address"}},
		"targets not on loopback":           {replace(`127.0.0.1:8081`, `10.0.0.1:8081`), []string{"/target-address"}},
		"invalid store address":             {replace(`https://10.0.0.9:2379`, `10.0.0.9`), []string{"/store-addresses/0"}},
		"no CA for peers":                   {replace(`, "authority-file": "a"`, ``), []string{"/peer-tls/authority-file"}},
		"no private key":                    {replace(`"caller-tls": {"certificate-file": "c", "private-key-file": "k"}`, `"caller-tls": {"certificate-file": "c"}`), []string{"/caller-tls/private-key-file"}},
		"plaintext off loopback":            {replace(`"peer-tls"`, `"allow-plain": true, "peer-tls"`, `"caller-tls": {"certificate-file": "c", "private-key-file": "k"}`, `"caller-tls": {}`), []string{"/caller-tls"}},
		"plaintext on loopback":             {replace(`"peer-tls"`, `"allow-plain": true, "peer-tls"`, `10.0.0.1:8080`, `127.0.0.1:8080`, `"caller-tls": {"certificate-file": "c", "private-key-file": "k"}`, `"caller-tls": {}`), nil},
		"plaintext on loopback not allowed": {replace(`10.0.0.1:8080`, `127.0.0.1:8080`, `"caller-tls": {"certificate-file": "c", "private-key-file": "k"}`, `"caller-tls": {}`), []string{"/caller-tls"}},
		"invalid log level and grace":       {replace(`"host"`, `"log-level": "loud", "shutdown-grace-ms": -1, "host"`), []string{"/log-level", "/shutdown-grace-ms"}},
		"invalid token digest":              {replace(`"host"`, `"operator-token-digest": "secret", "host"`), []string{"/operator-token-digest"}},
	}
	for name, test := range cases {
		t.Run(name, func(t *testing.T) {
			_, faults := settings.Parse([]byte(test.settings))
			pointers := []string{}
			for _, fault := range faults {
				pointers = append(pointers, fault.Pointer)
			}
			assert.DeepEqual(t, pointers, append([]string{}, test.faults...))
		})
	}
}

func FuzzParse(f *testing.F) {
	f.Add([]byte(validSettings))
	f.Fuzz(func(_ *testing.T, data []byte) { _, _ = settings.Parse(data) })
}
