package settings

import (
	"time"

	"balsamproxy"
	"balsamproxy/core/strictjson"
)

// Mesh is what a daemon must know that runs beside one target host on the
// platform, where the store holds the configuration and the network is
// trusted.
type Mesh struct {
	Host       balsamproxy.HostID       `json:"host"`
	DataCentre balsamproxy.DataCentreID `json:"data-centre"`
	// Service is the service whose targets run on this host.
	Service balsamproxy.ServiceID `json:"service"`
	// CallerAddress takes requests of callers and of targets of this host.
	CallerAddress string `json:"caller-address"`
	// PeerAddress takes links of other daemons.
	PeerAddress string `json:"peer-address"`
	// TargetAddress takes announcements of targets.
	TargetAddress string `json:"target-address"`
	// ReadyAddress answers whether callers may send work.
	ReadyAddress string `json:"ready-address"`
	// MetricsAddress serves counters and histograms; empty serves none.
	MetricsAddress string `json:"metrics-address,omitempty"`
	// StoreAddress is the store's host:port.
	StoreAddress string `json:"store-address"`
	StorePrefix  string `json:"store-prefix,omitempty"`
	// FirstStart says that the whole fleet starts for the first time.
	FirstStart bool `json:"first-start,omitempty"`
	// WithdrawalBound is the time within which a withdrawn key must stop
	// working everywhere.
	WithdrawalBound Duration `json:"withdrawal-bound"`
	// ShutdownGrace is the time from SIGTERM to the end of the process.
	ShutdownGrace Duration `json:"shutdown-grace"`
	// RepeatRatio and RepeatSlack bound the repeated attempts of the whole
	// fleet: a part of the requests, and a number on top.
	RepeatRatio float64 `json:"repeat-ratio"`
	RepeatSlack float64 `json:"repeat-slack"`
	// MemoryMB is the memory of the process in megabytes; zero means no limit.
	MemoryMB int    `json:"memory-mb,omitempty"`
	LogLevel string `json:"log-level,omitempty"`
}

// DefaultMeshStorePrefix begins the keys of a daemon on the platform.
const DefaultMeshStorePrefix = "balsamproxy/"

// ParseMesh returns the settings in data with defaults filled in, or all
// faults.
func ParseMesh(data []byte) (Mesh, strictjson.Faults) {
	mesh := Mesh{StorePrefix: DefaultMeshStorePrefix, LogLevel: DefaultLogLevel}
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
	if mesh.MemoryMB < 0 {
		faults.Add("/memory-mb", "%d is below 0", mesh.MemoryMB)
	}
	checkLogLevel(&faults, mesh.LogLevel)
	return faults
}

func checkPositive(faults *strictjson.Faults, pointer string, duration Duration) {
	if duration <= 0 {
		faults.Add(pointer, "%q must be above zero", duration)
	}
}

// Duration is a time that settings write with its unit, as 1500ms or 2.5s.
type Duration time.Duration

// UnmarshalText reads a time with its unit.
func (duration *Duration) UnmarshalText(text []byte) error {
	parsed, err := time.ParseDuration(string(text))
	*duration = Duration(parsed)
	return err
}

// MarshalText writes a time with its unit.
func (duration Duration) MarshalText() ([]byte, error) { return []byte(duration.String()), nil }

// String returns the time with its unit.
func (duration Duration) String() string { return time.Duration(duration).String() }
