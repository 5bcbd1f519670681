package balsamproxy

import "time"

// TargetState is the state that a target reports.
type TargetState string

// States of a target.
const (
	// TargetCold has just started and needs its load increased gradually.
	TargetCold TargetState = "cold"
	// TargetReady accepts work up to its limits.
	TargetReady TargetState = "ready"
	// TargetDraining accepts no new work.
	TargetDraining TargetState = "draining"
)

// Target is one announced backend.
type Target struct {
	ID      TargetID  `json:"id"`
	Service ServiceID `json:"service"`
	// Address is the loopback address, as host:port, on the target's host.
	Address string `json:"address"`
	// Slots is the number of requests that the target processes concurrently.
	Slots int `json:"slots"`
	// Connections is the number of connections that the target accepts.
	Connections int         `json:"connections"`
	State       TargetState `json:"state"`
}

// Member is the record that a daemon publishes about itself in the platform's
// store.
type Member struct {
	Host       HostID       `json:"host"`
	DataCentre DataCentreID `json:"data-centre"`
	// PeerAddress is where other daemons reach this one, as host:port.
	PeerAddress string `json:"peer-address"`
	// Incarnation differs between two runs of a daemon on the same host.
	Incarnation string   `json:"incarnation"`
	Leaving     bool     `json:"leaving"`
	Targets     []Target `json:"targets"`
}

// Announcement is the self-reported state of a target at one point in time.
type Announcement struct {
	Target Target
	// Sequence increases with each announcement of one incarnation.
	Sequence int64
	// Born is the start time of the incarnation in Unix milliseconds; zero if
	// unspecified.
	Born int64
	// WarmupRemaining is the remaining warm-up time of the target.
	WarmupRemaining time.Duration
}

// Status is the state that a daemon reports to its peers over their links.
type Status struct {
	Host       HostID       `cbor:"1,keyasint"`
	DataCentre DataCentreID `cbor:"2,keyasint"`
	// Incarnation differs between two runs of a daemon on the same host.
	Incarnation string `cbor:"3,keyasint"`
	// PeerAddress is where other daemons reach this one, as host:port.
	PeerAddress string `cbor:"4,keyasint"`
	// Leaving reports whether the daemon accepts no new calls.
	Leaving bool `cbor:"5,keyasint,omitempty"`
	// Stopping reports whether the daemon must not be assigned duties, such as
	// being the home of client accounts.
	Stopping bool     `cbor:"10,keyasint,omitempty"`
	Targets  []Target `cbor:"6,keyasint"`
	// Config is the version of the configuration in force.
	Config Revision `cbor:"7,keyasint"`
	// Homes are the groups of client accounts that the daemon is home of.
	// Backups are the hosts that may take them over, in the same order.
	Homes   []int    `cbor:"8,keyasint"`
	Backups []HostID `cbor:"11,keyasint,omitempty"`
	// Crashes are the requests that were in flight when a target crashed.
	Crashes []Crash `cbor:"9,keyasint,omitempty"`
	// Evacuations are the latest known states of the data centres that the operator
	// has ever evacuated.
	Evacuations []Evacuation `cbor:"12,keyasint,omitempty"`
	// Era is the era of the store that the daemon has seen, in which it holds its
	// tenures.
	Era StoreEra `cbor:"13,keyasint,omitempty"`
	// Custody are the hosts whose target records the daemon keeps because the store has
	// not taken them.
	Custody []HostID `cbor:"14,keyasint,omitempty"`
	// CrashDigest is equal at daemons that know the same crashes, and zero if the daemon
	// knows none.
	CrashDigest uint64 `cbor:"15,keyasint,omitempty"`
}

// Evacuation says whether the operator had evacuated a data centre at a revision of
// the store.
type Evacuation struct {
	DataCentre DataCentreID `cbor:"1,keyasint"`
	Revision   Revision     `cbor:"2,keyasint"`
	Evacuated  bool         `cbor:"3,keyasint,omitempty"`
	// Era is the era of the store that the revision belongs to.
	Era StoreEra `cbor:"4,keyasint,omitempty"`
}

// Crash records that a request was in flight when a target crashed.
type Crash struct {
	// Fingerprint identifies the contents of the request.
	Fingerprint []byte  `cbor:"1,keyasint"`
	ID          CrashID `cbor:"2,keyasint"`
	// Explained is set if runs that ended well show that something else was the cause.
	Explained bool `cbor:"3,keyasint,omitempty"`
	// Age is how long ago the target crashed.
	Age time.Duration `cbor:"4,keyasint,omitempty"`
}
