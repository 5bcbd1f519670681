package announced

import (
	"encoding/json"
	"errors"
	"fmt"
	"net/netip"
	"time"
	"unicode/utf8"

	"balsamproxy"
)

const (
	idBytesMax = 200
	slotsMax   = 1 << 20
	// clockTolerance is how far ahead the clock of a target may be.
	clockTolerance = time.Hour
)

// ErrInvalid means that an announcement or a record names no usable target. Nothing is
// changed by it.
var ErrInvalid = errors.New("announced: no usable target")

func validate(announcement balsamproxy.Announcement, now time.Time) error {
	return errors.Join(validateStart(announcement.Target.ID, announcement.Born, now), validateTarget(announcement.Target))
}

// validateStart checks what every announcement has: the id, which is sent in header
// fields, and the start time in Unix milliseconds.
func validateStart(id balsamproxy.TargetID, born int64, now time.Time) error {
	if id == "" || len(id) > idBytesMax {
		return fmt.Errorf("%w: an id of %d bytes", ErrInvalid, len(id))
	}
	for _, character := range []byte(id) {
		if character <= ' ' || character >= 0x7f {
			return fmt.Errorf("%w: id %q", ErrInvalid, id)
		}
	}
	if born < 0 || born > now.Add(clockTolerance).UnixMilli() {
		return fmt.Errorf("%w: start time %d", ErrInvalid, born)
	}
	return nil
}

func validateTarget(target balsamproxy.Target) error {
	if address, err := netip.ParseAddrPort(target.Address); err != nil || address.Port() == 0 {
		return fmt.Errorf("%w: address %q", ErrInvalid, target.Address)
	}
	if target.Service == "" || !utf8.ValidString(string(target.Service)) {
		return fmt.Errorf("%w: service %q", ErrInvalid, target.Service)
	}
	if target.Slots < 1 || target.Slots > slotsMax {
		return fmt.Errorf("%w: %d slots", ErrInvalid, target.Slots)
	}
	return nil
}

// ParseRecords decodes persisted records, a JSON array. It returns the valid ones, and
// an error for the others, or for all if data is no array.
func ParseRecords(data []byte, now time.Time) ([]Record, error) {
	var entries []json.RawMessage
	if err := json.Unmarshal(data, &entries); err != nil {
		return nil, errors.Join(ErrInvalid, err)
	}
	var records []Record
	var invalid error
	for _, entry := range entries {
		record, err := parseRecord(entry, now)
		if err != nil {
			invalid = errors.Join(invalid, err)
			continue
		}
		records = append(records, record)
	}
	return records, invalid
}

func parseRecord(entry json.RawMessage, now time.Time) (Record, error) {
	var record Record
	if err := json.Unmarshal(entry, &record); err != nil {
		return record, errors.Join(ErrInvalid, err)
	}
	if err := validateStart(record.Target.ID, record.Born, now); err != nil {
		return record, err
	}
	if record.Withdrawn {
		// Only the id is known of a target that was withdrawn before it was announced.
		return record, nil
	}
	return record, validateTarget(record.Target)
}
