package settings

import (
	"time"

	"balsamproxy"
	"balsamproxy/core/strictjson"
)

// Mesh holds the settings of a daemon that serves one target host on the
// platform. There the configuration comes from the store, and the network is
// trusted.
type Mesh struct {
	Host       balsamproxy.HostID       `json:"host"`
	DataCentre balsamproxy.DataCentreID `json:"data-centre"`
	// Service is the service of the targets on this host.
	Service balsamproxy.ServiceID `json:"service"`
	// CallerAddress listens for requests of callers and of targets on this host.
	CallerAddress string `json:"caller-address"`
	// PeerAddress listens for connections of other daemons.
	PeerAddress string `json:"peer-address"`
	// TargetAddress listens for announcements of targets.
	TargetAddress string `json:"target-address"`
	// ReadyAddress serves the readiness check, which tells whether callers may
	// send requests.
	ReadyAddress string `json:"ready-address"`
	// MetricsAddress serves the metrics; if empty, they are not served.
	MetricsAddress string `json:"metrics-address,omitempty"`
	// StoreAddress is the IP:port of the store.
	StoreAddress string `json:"store-address"`
	StorePrefix  string `json:"store-prefix,omitempty"`
	// FirstStart is set when the whole fleet starts for the first time.
	FirstStart bool `json:"first-start,omitempty"`
	// WithdrawalBound is the time within which every host must reject a
	// withdrawn key.
	WithdrawalBound Duration `json:"withdrawal-bound"`
	// ShutdownGrace is the time from SIGTERM until the process exits.
	ShutdownGrace Duration `json:"shutdown-grace"`
	// RepeatRatio and RepeatSlack are the retry budget of the whole fleet: the
	// allowed ratio of retries to requests, and a constant number added to it.
	RepeatRatio float64 `json:"repeat-ratio"`
	RepeatSlack float64 `json:"repeat-slack"`
	Limits
	// ShedByCost makes the daemon shed requests at the entry by what they cost at
	// services that are short of capacity.
	ShedByCost bool `json:"shed-by-cost,omitempty"`
	// Placement is the policy by which the targets of calls are selected.
	Placement Placement `json:"placement,omitempty"`
	LogLevel  string    `json:"log-level,omitempty"`
}

// Placement names a policy of core/placement.
type Placement string

// Placement policies.
const (
	// PlacementLowestCost selects the target with the lowest expected cost.
	PlacementLowestCost Placement = "lowest-cost"
	// PlacementFreeRoom distributes calls by the free room of the targets.
	PlacementFreeRoom Placement = "free-room"
)

// DefaultMeshStorePrefix is the default of Mesh.StorePrefix.
const DefaultMeshStorePrefix = "balsamproxy/"

// ParseMesh decodes and validates the settings, with defaults for fields that
// are absent. It returns all faults found; the settings are usable only if there
// are none.
func ParseMesh(data []byte) (Mesh, strictjson.Faults) {
	mesh := Mesh{StorePrefix: DefaultMeshStorePrefix, LogLevel: DefaultLogLevel, Placement: PlacementLowestCost}
	faults := strictjson.Decode(data, &mesh)
	if len(faults) > 0 {
		return mesh, faults
	}
	return mesh, mesh.check()
}

func (mesh Mesh) check() strictjson.Faults {
	var faults strictjson.Faults
	checkName(&faults, "/host", string(mesh.Host))
	checkName(&faults, "/data-centre", string(mesh.DataCentre))
	checkName(&faults, "/service", string(mesh.Service))
	checkAddress(&faults, "/caller-address", mesh.CallerAddress)
	checkAddress(&faults, "/peer-address", mesh.PeerAddress)
	checkAddress(&faults, "/target-address", mesh.TargetAddress)
	checkAddress(&faults, "/ready-address", mesh.ReadyAddress)
	checkAddress(&faults, "/store-address", mesh.StoreAddress)
	if mesh.MetricsAddress != "" {
		checkAddress(&faults, "/metrics-address", mesh.MetricsAddress)
	}
	checkPositive(&faults, "/withdrawal-bound", mesh.WithdrawalBound)
	checkPositive(&faults, "/shutdown-grace", mesh.ShutdownGrace)
	if mesh.RepeatRatio < 0 || mesh.RepeatRatio > 1 {
		faults.Add("/repeat-ratio", "%v is not between 0 and 1", mesh.RepeatRatio)
	}
	if mesh.RepeatSlack < 0 {
		faults.Add("/repeat-slack", "%v is below 0", mesh.RepeatSlack)
	}
	mesh.checkLimits(&faults)
	checkLogLevel(&faults, mesh.LogLevel)
	if mesh.Placement != PlacementLowestCost && mesh.Placement != PlacementFreeRoom {
		faults.Add("/placement", "%q is neither %q nor %q", mesh.Placement, PlacementLowestCost, PlacementFreeRoom)
	}
	return faults
}

func checkPositive(faults *strictjson.Faults, pointer string, duration Duration) {
	if duration <= 0 {
		faults.Add(pointer, "%q must be above zero", duration)
	}
}

// Duration is a time.Duration that is encoded as text with a unit, such as
// 1500ms or 2.5s.
type Duration time.Duration

// UnmarshalText implements encoding.TextUnmarshaler.
func (duration *Duration) UnmarshalText(text []byte) error {
	parsed, err := time.ParseDuration(string(text))
	*duration = Duration(parsed)
	return err
}

// MarshalText implements encoding.TextMarshaler.
func (duration Duration) MarshalText() ([]byte, error) { return []byte(duration.String()), nil }

// String implements fmt.Stringer.
func (duration Duration) String() string { return time.Duration(duration).String() }
