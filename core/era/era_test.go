package era_test

import (
	"testing"

	"gotest.tools/v3/assert"

	"balsamproxy"
	"balsamproxy/core/era"
)

// The load in these tables is a store that comes back some seconds older, again and
// again, while calls of all daemons are in flight and some of them are late.

func TestPositions(t *testing.T) {
	cases := map[string]struct {
		left, right era.Position
		want        int
	}{
		"same":                            {era.Position{Era: 2, Revision: 5}, era.Position{Era: 2, Revision: 5}, 0},
		"later revision":                  {era.Position{Era: 2, Revision: 6}, era.Position{Era: 2, Revision: 5}, 1},
		"later era with earlier revision": {era.Position{Era: 3, Revision: 1}, era.Position{Era: 2, Revision: 5}, 1},
		"nothing read yet":                {era.Position{}, era.Position{Revision: 1}, -1},
	}
	for name, test := range cases {
		t.Run(name, func(t *testing.T) {
			assert.Equal(t, test.left.Compare(test.right), test.want)
			assert.Equal(t, test.right.Compare(test.left), -test.want)
		})
	}
}

func TestContinues(t *testing.T) {
	cases := map[string]struct {
		position era.Position
		current  balsamproxy.StoreEra
		want     bool
	}{
		"same era":                      {era.Position{Era: 2, Revision: 5}, 2, true},
		"store without eras":            {era.Position{Revision: 5}, 0, true},
		"nothing read yet":              {era.Position{Era: 2}, 2, false},
		"earlier era":                   {era.Position{Era: 2, Revision: 5}, 3, false},
		"read before the era was known": {era.Position{Revision: 5}, 3, false},
	}
	for name, test := range cases {
		t.Run(name, func(t *testing.T) { assert.Equal(t, test.position.Continues(test.current), test.want) })
	}
}

func TestUsable(t *testing.T) {
	cases := map[string]struct {
		asked, answered, highest balsamproxy.StoreEra
		want                     bool
	}{
		"store without eras":      {0, 0, 0, true},
		"first response":          {0, 2, 2, true},
		"same era":                {2, 2, 2, true},
		"response shows the rise": {2, 3, 3, false},
		"request from before the rise, late response":  {2, 2, 3, false},
		"request from before the rise, new response":   {2, 3, 3, false},
		"response of an earlier era to a new request":  {3, 2, 3, false},
		"first request, overtaken by a rise":           {0, 2, 3, false},
		"response of something in front of the store":  {3, 0, 3, true},
		"two rises while the request was on its way":   {2, 3, 4, false},
		"first request, response of the highest known": {0, 3, 3, true},
	}
	for name, test := range cases {
		t.Run(name, func(t *testing.T) {
			assert.Equal(t, era.Usable(test.asked, test.answered, test.highest), test.want)
		})
	}
}

func TestSame(t *testing.T) {
	cases := map[string]struct {
		begun, current balsamproxy.StoreEra
		raised, want   bool
	}{
		"store without eras":        {0, 0, false, true},
		"same era":                  {2, 2, true, true},
		"first era during the step": {0, 2, false, true},
		"rise during the step":      {2, 3, true, false},
		"first era and a rise":      {0, 3, true, false},
	}
	for name, test := range cases {
		t.Run(name, func(t *testing.T) {
			assert.Equal(t, era.Same(test.begun, test.current, test.raised), test.want)
		})
	}
}

func TestConfirms(t *testing.T) {
	cases := map[string]struct {
		read, inForce balsamproxy.Revision
		lossy, want   bool
	}{
		"version in force":                 {5, 5, true, true},
		"later version":                    {6, 5, true, true},
		"older version of a copy":          {4, 5, true, false},
		"older version that was written":   {4, 5, false, true},
		"no version in the copy":           {0, 5, true, false},
		"nothing in force and none stored": {0, 0, true, true},
	}
	for name, test := range cases {
		t.Run(name, func(t *testing.T) {
			assert.Equal(t, era.Confirms(test.read, test.inForce, test.lossy), test.want)
		})
	}
}
