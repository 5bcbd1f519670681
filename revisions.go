package balsamproxy

// Revisions are the revisions of the documents that all daemons share.
type Revisions struct {
	Config Revision `cbor:"1,keyasint" json:"config"`
	Roster Revision `cbor:"2,keyasint" json:"roster"`
	Homes  Revision `cbor:"3,keyasint" json:"homes"`
}

// Covers reports whether each document is at least as recent as in other.
func (revisions Revisions) Covers(other Revisions) bool {
	return revisions.Config >= other.Config &&
		revisions.Roster >= other.Roster &&
		revisions.Homes >= other.Homes
}

// Latest returns the higher revision of each document.
func (revisions Revisions) Latest(other Revisions) Revisions {
	return Revisions{
		Config: max(revisions.Config, other.Config),
		Roster: max(revisions.Roster, other.Roster),
		Homes:  max(revisions.Homes, other.Homes),
	}
}

// Roster is the list of hosts that form the voting membership: majorities are
// counted over it. It changes by one host at a time.
type Roster struct {
	Hosts []HostID `json:"hosts"`
	// Changed is the host that the latest change added or removed.
	Changed HostID `json:"changed"`
	// Added reports whether Changed was added rather than removed.
	Added bool `json:"added"`
}
