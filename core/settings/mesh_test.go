package settings_test

import (
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"balsamproxy/core/settings"
)

const validMesh = `{
	"host": "host-1", "data-centre": "a", "service": "venues",
	"caller-address": "10.0.0.1:1", "peer-address": "10.0.0.1:2", "target-address": "10.0.0.1:3",
	"ready-address": "10.0.0.1:4", "store-address": "10.0.0.2:5",
	"withdrawal-bound": "5000ms", "shutdown-grace": "6s", "repeat-ratio": 0.2, "repeat-slack": 49
}`

func TestParseMesh(t *testing.T) {
	cases := map[string]struct {
		old, new string
		pointers []string
	}{
		"valid":                     {"", "", nil},
		"unknown field":             {`"host":`, `"hosts": 1, "host":`, []string{"/hosts"}},
		"duration without a unit":   {`"6s"`, `"6"`, []string{"/shutdown-grace"}},
		"duration that is a number": {`"6s"`, `6`, []string{"/shutdown-grace"}},
		"zero duration":             {`"5000ms"`, `"0s"`, []string{"/withdrawal-bound"}},
		"invalid name":              {`"venues"`, `"No Name"`, []string{"/service"}},
		"placement by free room":    {`"host":`, `"placement": "free-room", "host":`, nil},
		"unknown placement":         {`"host":`, `"placement": "random", "host":`, []string{"/placement"}},
		"empty placement":           {`"host":`, `"placement": "", "host":`, []string{"/placement"}},
		"ratio above 1":             {`ratio": 0.2`, `ratio": 2`, []string{"/repeat-ratio"}},
	}
	for name, test := range cases {
		t.Run(name, func(t *testing.T) {
			mesh, faults := settings.ParseMesh([]byte(strings.Replace(validMesh, test.old, test.new, 1)))
			var pointers []string
			for _, fault := range faults {
				pointers = append(pointers, fault.Pointer)
			}
			assert.DeepEqual(t, pointers, test.pointers)
			if len(faults) == 0 {
				assert.Equal(t, time.Duration(mesh.WithdrawalBound), 5*time.Second)
				want := settings.PlacementLowestCost
				if strings.Contains(test.new, "free-room") {
					want = settings.PlacementFreeRoom
				}
				assert.Equal(t, mesh.Placement, want)
			}
		})
	}
}
