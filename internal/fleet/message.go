package fleet

import (
	"encoding/binary"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/gravitational/trace"

	"github.com/basillink/basillink/internal/discovery"
	"github.com/basillink/basillink/internal/dispatch"
	"github.com/basillink/basillink/internal/registry"
	"github.com/basillink/basillink/internal/routes"
)

// datagram is what instances tell each other without an answer. Parts that are not set are left out. Keys are only ever
// added, so that versions can be mixed.
type datagram struct {
	// From and Started name the incarnation of the sender.
	From    string `cbor:"1,keyasint,omitempty"`
	Started int64  `cbor:"11,keyasint,omitempty"`
	// Self introduces the sender. It is left out where the receiver knows it.
	Self *discovery.Member `cbor:"12,keyasint,omitempty"`
	// Reader is true when the sender reads the load of the targets of its zone.
	Reader bool `cbor:"2,keyasint,omitempty"`
	// Live is the number of live instances in the zone of the sender, itself included.
	Live int `cbor:"3,keyasint,omitempty"`
	// Fleet is the number of live instances in all zones, as the reader of a zone knows it.
	Fleet int `cbor:"13,keyasint,omitempty"`
	// Greeting asks for an answer with the members that the receiver knows.
	Greeting bool `cbor:"4,keyasint,omitempty"`
	// Knows is the number of members that the sender of a greeting knows.
	Knows   int                `cbor:"14,keyasint,omitempty"`
	Members []discovery.Member `cbor:"5,keyasint,omitempty"`
	// Loads are readings of the targets of one or more zones. They travel in Packed; instances of earlier versions send them
	// as they are.
	Loads  []loadNote `cbor:"6,keyasint,omitempty"`
	Packed []byte     `cbor:"20,keyasint,omitempty"`
	// Targets and Config tell how far the store was read.
	Targets *targetsNote `cbor:"7,keyasint,omitempty"`
	Config  *configNote  `cbor:"8,keyasint,omitempty"`
	// Parts are the instances that read the targets of the zone, as its reader assigns them.
	Parts []string `cbor:"15,keyasint,omitempty"`
	// Readers are the instances that read the targets of the other zones.
	Readers []string `cbor:"18,keyasint,omitempty"`
	// Council are the members that hear the heartbeats of the whole zone besides its reader.
	Council []string `cbor:"19,keyasint,omitempty"`
	// ZoneSize is how many members of the receiver's zone the sender of an answer to a greeting knows.
	ZoneSize int `cbor:"21,keyasint,omitempty"`
	// Failing is the number of instances of the sender's zone that try to read the store in vain, as it knows, and FailingAll
	// that of all zones, as the reader of a zone knows.
	Failing    int `cbor:"23,keyasint,omitempty"`
	FailingAll int `cbor:"24,keyasint,omitempty"`
	// Marks tell of requests that crash targets.
	Marks []discovery.CrashMark `cbor:"22,keyasint,omitempty"`
	// MarksDigest identifies all crash marks of the sender, 0 for none.
	MarksDigest uint64 `cbor:"25,keyasint,omitempty"`
	// Leaving is true when the sender stops.
	Leaving bool `cbor:"9,keyasint,omitempty"`
	// Claim and Denial stand alone in a datagram. Key 10 was used before.
	Claim  *claimNote  `cbor:"16,keyasint,omitempty"`
	Denial *denialNote `cbor:"17,keyasint,omitempty"`
}

// loadNote is one reading of a target. Targets are named by a hash of their id.
type loadNote struct {
	_       struct{} `cbor:",toarray"`
	Target  uint32
	Running uint16
	Waiting uint16
	// PacePercent is how long work takes; 100 is usual. 0 means that the target does not answer.
	PacePercent uint16
	// AgeMS is the age of the reading.
	AgeMS uint16
}

// targetsNote tells how far the records of targets were read, and the latest changes.
type targetsNote struct {
	// Base is the offset from which on Changes is complete, and Next the offset to read on from.
	Base    int64             `cbor:"1,keyasint"`
	Next    int64             `cbor:"2,keyasint"`
	AgeMS   int64             `cbor:"3,keyasint"`
	Changes []registry.Change `cbor:"4,keyasint,omitempty"`
}

// configNote tells which configuration is in force.
type configNote struct {
	Version uint64 `cbor:"1,keyasint"`
	AgeMS   int64  `cbor:"2,keyasint"`
}

// State is everything an instance needs to start serving.
type State struct {
	Config      *routes.Config
	ConfigNext  int64
	ConfigAge   time.Duration
	Targets     []registry.Change
	TargetsNext int64
	// TargetsFrom is the offset from which on Targets is complete. 0 stands for all targets.
	TargetsFrom   int64
	TargetsAge    time.Duration
	Members       []discovery.Member
	TargetsListed bool
	// ConfigListed is true when the configuration was read, though there may be none yet.
	ConfigListed bool
	// Marks tell of requests that crash targets, in answers to instances that lack some.
	Marks []discovery.CrashMark
	// MarksRead is true when the marks hold those that are kept in the store.
	MarksRead bool
}

// StateRequest asks for the state of another instance.
type StateRequest struct {
	// HaveVersion is the version of the configuration that the caller has; that configuration is left out of the answer.
	HaveVersion uint64
	HaveConfig  bool
	// TargetsNext is the offset up to which the caller knows the records of targets, 0 if it knows none. Earlier ones are left
	// out of the answer.
	TargetsNext int64
	// MarksDigest identifies the crash marks of the caller. The same marks are left out of the answer.
	MarksDigest uint64
}

func encode(d *datagram) ([]byte, error) {
	packed := *d
	packed.Loads, packed.Packed = nil, packLoads(d.Loads)
	return cbor.Marshal(&packed)
}

func decode(b []byte) (*datagram, error) {
	var d datagram
	if err := cbor.Unmarshal(b, &d); err != nil {
		return nil, trace.Wrap(err)
	}
	if d.Packed != nil {
		d.Loads, d.Packed = append(d.Loads, unpackLoads(d.Packed)...), nil
	}
	return &d, nil
}

// packedNoteBytes is the size of a packed reading: five numbers of fixed size. Most datagrams consist of readings, and
// each instance of a zone receives them.
const packedNoteBytes = 12

func packLoads(notes []loadNote) []byte {
	packed := make([]byte, 0, packedNoteBytes*len(notes))
	for _, n := range notes {
		packed = binary.BigEndian.AppendUint32(packed, n.Target)
		for _, figure := range [...]uint16{n.Running, n.Waiting, n.PacePercent, n.AgeMS} {
			packed = binary.BigEndian.AppendUint16(packed, figure)
		}
	}
	return packed
}

// unpackLoads ignores an incomplete reading at the end.
func unpackLoads(packed []byte) []loadNote {
	notes := make([]loadNote, 0, len(packed)/packedNoteBytes)
	for ; len(packed) >= packedNoteBytes; packed = packed[packedNoteBytes:] {
		notes = append(notes, loadNote{
			Target: binary.BigEndian.Uint32(packed), Running: binary.BigEndian.Uint16(packed[4:]),
			Waiting: binary.BigEndian.Uint16(packed[6:]), PacePercent: binary.BigEndian.Uint16(packed[8:]),
			AgeMS: binary.BigEndian.Uint16(packed[10:]),
		})
	}
	return notes
}

func toReading(n loadNote, now time.Duration) dispatch.LoadReport {
	return dispatch.LoadReport{
		Running: int(n.Running), Waiting: int(n.Waiting), Slowdown: float64(n.PacePercent) / 100,
		ReceivedAt: now - time.Duration(n.AgeMS)*time.Millisecond,
	}
}
