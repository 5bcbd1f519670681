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
		"negative body memory":      {`"host":`, `"body-memory-mb": -1, "host":`, []string{"/body-memory-mb"}},
		"too much body memory":      {`"host":`, `"memory-mb": 184, "body-memory-mb": 93, "host":`, []string{"/body-memory-mb"}},
		"too many connections":      {`"host":`, `"caller-connections": 65537, "host":`, []string{"/caller-connections"}},
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

// TestMeshLimits guards against defaults that exceed the memory of a host or leave no
// descriptors for anything but callers.
func TestMeshLimits(t *testing.T) {
	cases := map[string]struct {
		mesh            settings.Mesh
		total, requests int64
		descriptors     int
		connections     int
	}{
		"no memory limit":       {settings.Mesh{}, 64 << 20, 64 << 20, 100_000, 4096},
		"memory limit":          {settings.Mesh{Limits: settings.Limits{MemoryMB: 184}}, 161 << 19, 69 << 20, 4100, 736},
		"few descriptors":       {settings.Mesh{Limits: settings.Limits{MemoryMB: 536}}, 469 << 19, 201 << 20, 4100, 2050},
		"body memory":           {settings.Mesh{Limits: settings.Limits{MemoryMB: 160, BodyMemoryMB: 80}}, 80 << 20, 60 << 20, 4100, 640},
		"small body memory":     {settings.Mesh{Limits: settings.Limits{MemoryMB: 160, BodyMemoryMB: 20}}, 20 << 20, 20 << 20, 4100, 640},
		"connections":           {settings.Mesh{Limits: settings.Limits{CallerConnections: 50}}, 64 << 20, 64 << 20, 4100, 50},
		"too many connections":  {settings.Mesh{Limits: settings.Limits{CallerConnections: 3000}}, 64 << 20, 64 << 20, 4100, 2050},
		"hardly any descriptor": {settings.Mesh{}, 64 << 20, 64 << 20, 1, 1},
	}
	for name, test := range cases {
		t.Run(name, func(t *testing.T) {
			total, requests := test.mesh.BodyMemory()
			assert.Equal(t, total, test.total)
			assert.Equal(t, requests, test.requests)
			assert.Equal(t, test.mesh.MaxCallerConnections(test.descriptors), test.connections)
		})
	}
}
