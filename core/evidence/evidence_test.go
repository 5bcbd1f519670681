package evidence_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"balsamproxy"
	"balsamproxy/core/evidence"
)

func TestHolds(t *testing.T) {
	const limit = 4 * time.Second
	cases := map[string]struct {
		confirmed []time.Duration
		now       time.Duration
		want      bool
	}{
		"never confirmed":                       {nil, 0, false},
		"just confirmed":                        {[]time.Duration{time.Second}, time.Second, true},
		"within the limit":                      {[]time.Duration{time.Second}, 5*time.Second - 1, true},
		"at the limit":                          {[]time.Duration{time.Second}, 5 * time.Second, false},
		"earlier read that finishes later":      {[]time.Duration{3 * time.Second, time.Second}, 6 * time.Second, true},
		"suspended for longer than the limit":   {[]time.Duration{time.Second}, time.Minute, false},
		"confirmed again after a disconnection": {[]time.Duration{time.Second, time.Minute}, time.Minute, true},
	}
	for name, test := range cases {
		t.Run(name, func(t *testing.T) {
			held := evidence.Evidence{MaxAge: limit}
			for _, began := range test.confirmed {
				held.Confirm(balsamproxy.BootTime(began))
			}
			assert.Equal(t, held.IsFresh(balsamproxy.BootTime(test.now)), test.want)
		})
	}
}

// TestStartOver guards against evidence from reads across the return of the store from
// an older copy, under the load of polls that are always in flight.
func TestStartOver(t *testing.T) {
	const limit = 4 * time.Second
	cases := map[string]struct {
		before, after []time.Duration
		now           time.Duration
		want          bool
	}{
		"evidence from before, while young":      {[]time.Duration{time.Second}, nil, 4 * time.Second, true},
		"evidence from before, too old":          {[]time.Duration{time.Second}, nil, 5 * time.Second, false},
		"read that started before ends after":    {[]time.Duration{time.Second}, []time.Duration{2 * time.Second}, 5 * time.Second, false},
		"first read that started before":         {nil, []time.Duration{2 * time.Second}, 4 * time.Second, false},
		"read that started after":                {[]time.Duration{time.Second}, []time.Duration{3500 * time.Millisecond}, 5 * time.Second, true},
		"both, the one from before arrives last": {nil, []time.Duration{3 * time.Second, time.Second}, 4 * time.Second, true},
	}
	for name, test := range cases {
		t.Run(name, func(t *testing.T) {
			held := evidence.Evidence{MaxAge: limit}
			for _, began := range test.before {
				held.Confirm(balsamproxy.BootTime(began))
			}
			held.StartOver(balsamproxy.BootTime(3 * time.Second))
			for _, began := range test.after {
				held.Confirm(balsamproxy.BootTime(began))
			}
			assert.Equal(t, held.IsFresh(balsamproxy.BootTime(test.now)), test.want)
		})
	}
}

func TestMaxAgeFor(t *testing.T) {
	assert.Equal(t, evidence.MaxAgeFor(5*time.Second), 3500*time.Millisecond)
}
