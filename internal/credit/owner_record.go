package credit

import (
	"time"

	"github.com/basillink/basillink/internal/topic"
)

// Holder identifies one incarnation of an instance that owns the shared limits. The zero value is an unknown holder.
type Holder struct {
	ID string `json:"id"`
	// Address is where the instance receives datagrams of peers.
	Address string `json:"address"`
	// Started is the start of the process in Unix nanoseconds.
	Started int64 `json:"started"`
}

// OwnerRecord is the record of an owner in the store.
type OwnerRecord struct {
	Holder
	// Era is the era in which the writer expected the record to be appended. If it differs from the era in which the record is
	// read, the store was restored, and others may have been owners since.
	Era int64 `json:"era"`
	// OwnedMS is the time in milliseconds for which the holder had been the owner when it began to append the record.
	OwnedMS int64 `json:"owned_ms"`
	// Challenge is true if the writer could not know that the record before is invalid. The record makes nobody the owner, but
	// keeps the owner that nobody hears from renewing its lease.
	Challenge bool `json:"challenge,omitempty"`
}

// Announcement tells other instances of the newest known owner record. It is encoded in datagrams and in the answers of
// net/rpc calls.
type Announcement struct {
	// ID, Address and Started are those of the Holder. ID is empty if the sender knows only that there is a record.
	ID      string `cbor:"1,keyasint,omitempty"`
	Address string `cbor:"2,keyasint,omitempty"`
	Started int64  `cbor:"3,keyasint,omitempty"`
	// Era and Next are the position behind the record.
	Era  int64 `cbor:"4,keyasint,omitempty"`
	Next int64 `cbor:"5,keyasint,omitempty"`
	// ValidMS is the time in milliseconds after which the record is certain to be invalid, counted from the sending.
	ValidMS int64 `cbor:"6,keyasint,omitempty"`
	// Released is true if the holder has given up the ownership.
	Released bool `cbor:"7,keyasint,omitempty"`
	// OwnedMS is the time in milliseconds since the latest ownership began, or less if the sender does not know it.
	OwnedMS int64 `cbor:"8,keyasint,omitempty"`
	// WithoutLease is true if the record made nobody the owner, as a challenge does. Another instance may then have a valid lease.
	WithoutLease bool `cbor:"9,keyasint,omitempty"`
}

func (a *Announcement) holder() Holder {
	return Holder{ID: a.ID, Address: a.Address, Started: a.Started}
}

func (a *Announcement) next() topic.Position { return topic.Position{Era: a.Era, Offset: a.Next} }

// valid returns ValidMS as a duration.
func (a *Announcement) valid() time.Duration {
	if a.Released {
		return 0
	}
	return time.Duration(a.ValidMS) * time.Millisecond
}

// beganAt returns the latest time at which the announced ownership can have begun. A holder that announces none yet may begin until
// its record becomes invalid.
func (a *Announcement) beganAt(now time.Duration) time.Duration {
	if a.OwnedMS == 0 {
		return now + a.valid()
	}
	return now - time.Duration(a.OwnedMS)*time.Millisecond
}

// wholeMilliseconds returns a duration in milliseconds, or 0 if it is negative.
func wholeMilliseconds(d time.Duration) int64 { return max(d.Milliseconds(), 0) }
