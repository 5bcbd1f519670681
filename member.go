package balsamproxy

import "time"

// TargetState is what a target says of itself.
type TargetState string

// States of a target.
const (
	// TargetCold has started and needs to be given work slowly.
	TargetCold TargetState = "cold"
	// TargetReady takes work up to its limits.
	TargetReady TargetState = "ready"
	// TargetDraining takes no new work.
	TargetDraining TargetState = "draining"
)

// Target is one announced back end.
type Target struct {
	ID      TargetID  `json:"id"`
	Service ServiceID `json:"service"`
	// Address is the loopback address, as host:port, on the target's host.
	Address string `json:"address"`
	// Slots is the number of requests that the target works on at a time.
	Slots int `json:"slots"`
	// Connections is the number of connections that the target accepts.
	Connections int         `json:"connections"`
	State       TargetState `json:"state"`
}

// Member is what one daemon publishes of itself in the platform's store.
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

// Announcement is what a target says of itself at one moment.
type Announcement struct {
	Target Target
	// Sequence grows with each announcement of one incarnation.
	Sequence int64
	// Born is the start of the incarnation in Unix milliseconds; zero if the
	// target does not say.
	Born int64
	// ColdFor is how much longer the target is slow after its start.
	ColdFor time.Duration
}

// Status is what a daemon tells its peers of itself over their links.
type Status struct {
	Host       HostID       `cbor:"1,keyasint"`
	DataCentre DataCentreID `cbor:"2,keyasint"`
	// Incarnation differs between two runs of a daemon on the same host.
	Incarnation string `cbor:"3,keyasint"`
	// PeerAddress is where other daemons reach this one, as host:port.
	PeerAddress string `cbor:"4,keyasint"`
	// Leaving says that the daemon takes no new calls.
	Leaving bool `cbor:"5,keyasint,omitempty"`
	// Stopping says that the daemon takes no duties.
	Stopping bool     `cbor:"10,keyasint,omitempty"`
	Targets  []Target `cbor:"6,keyasint"`
	// Config is the version of the configuration in force.
	Config Revision `cbor:"7,keyasint"`
	// Homes are the groups of client accounts that the daemon is home of, and
	// Backups the hosts that may follow it, in the same order.
	Homes   []int    `cbor:"8,keyasint"`
	Backups []HostID `cbor:"11,keyasint,omitempty"`
	// Crashes are requests that were under way when a target crashed.
	Crashes []Crash `cbor:"9,keyasint,omitempty"`
}

// Crash says that a request was under way when a target crashed.
type Crash struct {
	// Fingerprint names the contents of the request.
	Fingerprint []byte  `cbor:"1,keyasint"`
	ID          CrashID `cbor:"2,keyasint"`
}
