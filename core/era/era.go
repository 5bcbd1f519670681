// Package era decides what may be relied on when the store comes back from an older
// copy. Acknowledged writes since the copy are then lost, and revisions and leases are
// issued again, so only the era tells their meaning.
package era

import (
	"cmp"

	"balsamproxy"
)

// Position is a point in the history of the store. The zero value is before all others.
type Position struct {
	Era      balsamproxy.StoreEra
	Revision balsamproxy.Revision
}

// Compare orders positions by era, then by revision.
func (position Position) Compare(other Position) int {
	return cmp.Or(cmp.Compare(position.Era, other.Era), cmp.Compare(position.Revision, other.Revision))
}

// Continues reports whether a watch may continue from the position in an era.
func (position Position) Continues(current balsamproxy.StoreEra) bool {
	return position.Revision != 0 && position.Era == current
}

// Usable reports whether the response to a request may be used. The request was made
// when asked was the highest era seen, and highest is that now, with the era of
// the response itself included. Zero means that no era was known.
//
// A response without an era is not ordered. It is used, since some of a store's
// responses may come from what stands before it.
func Usable(asked, answered, highest balsamproxy.StoreEra) bool {
	switch {
	case answered == 0:
		return true
	case answered < highest:
		return false
	}
	// Revisions and leases in a request of an earlier era may mean something else.
	return asked == 0 || asked == answered
}

// Same reports whether what was decided or begun in one era still counts in the current
// one. Without a rise the first era that the store reports ends nothing.
func Same(begun, current balsamproxy.StoreEra, raised bool) bool {
	return begun == current || begun == 0 && !raised
}

// Confirms reports whether a read that found a version of the configuration confirms the
// one in force. While the store may lack writes of the operator, an older one shows that
// they are not written again yet, so later versions than the one in force may exist.
func Confirms(read, inForce balsamproxy.Revision, lossy bool) bool {
	return !lossy || read >= inForce
}
