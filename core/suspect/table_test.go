package suspect_test

import (
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"balsamproxy"
	"balsamproxy/core/suspect"
)

func TestTable(t *testing.T) {
	type step struct {
		after time.Duration
		crash balsamproxy.CrashID
		clear bool
		want  suspect.Verdict
	}
	cases := map[string][]step{
		"never crashed":           {{want: suspect.Free}},
		"one crash, one trial":    {{crash: "a", want: suspect.Trial}, {want: suspect.Wait}},
		"same crash counts once":  {{crash: "a", want: suspect.Trial}, {crash: "a", want: suspect.Wait}},
		"two crashes":             {{crash: "a", want: suspect.Trial}, {crash: "b", want: suspect.Blocked}},
		"trial was answered":      {{crash: "a", want: suspect.Trial}, {clear: true, want: suspect.Free}},
		"trial without a result":  {{crash: "a", want: suspect.Trial}, {after: 31 * time.Second, want: suspect.Trial}},
		"one crash long ago":      {{crash: "a", want: suspect.Trial}, {after: 61 * time.Second, want: suspect.Free}},
		"two crashes a while ago": {{crash: "a", want: suspect.Trial}, {crash: "b", want: suspect.Blocked}, {after: 4 * time.Minute, want: suspect.Blocked}},
		"two crashes long ago":    {{crash: "a", want: suspect.Trial}, {crash: "b", want: suspect.Blocked}, {after: 6 * time.Minute, want: suspect.Free}},
	}
	for name, steps := range cases {
		t.Run(name, func(t *testing.T) {
			table := &suspect.Table{}
			now := time.Unix(1_000_000, 0)
			fingerprint := suspect.FingerprintOf(balsamproxy.CallHead{Path: "/poison"}, strings.NewReader("body"))
			for _, step := range steps {
				now = now.Add(step.after)
				if step.crash != "" {
					table.RecordCrash(fingerprint, step.crash, now)
				}
				if step.clear {
					table.Clear(fingerprint)
				}
				assert.Equal(t, table.Check(fingerprint, now), step.want)
			}
		})
	}
}
