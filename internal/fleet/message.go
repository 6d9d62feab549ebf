package fleet

import (
	"encoding/binary"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/gravitational/trace"

	"github.com/basillink/basillink/internal/credit"
	"github.com/basillink/basillink/internal/discovery"
	"github.com/basillink/basillink/internal/dispatch"
	"github.com/basillink/basillink/internal/evacuation"
	"github.com/basillink/basillink/internal/registry"
	"github.com/basillink/basillink/internal/routes"
	"github.com/basillink/basillink/internal/storeread"
	"github.com/basillink/basillink/internal/topic"
)

// datagram is the one-way message between instances. Unset fields are omitted. Keys are only ever added, so that
// instances of different versions can be mixed.
type datagram struct {
	// From and Started identify the incarnation of the sender.
	From    string `cbor:"1,keyasint,omitempty"`
	Started int64  `cbor:"11,keyasint,omitempty"`
	// Self describes the sender. It is omitted in most datagrams to receivers that know the sender.
	Self *discovery.Member `cbor:"12,keyasint,omitempty"`
	// Leader is true when the sender is the leader of its zone.
	Leader bool `cbor:"2,keyasint,omitempty"`
	// ZoneLive is the number of live instances in the sender's zone, the sender included.
	ZoneLive int `cbor:"3,keyasint,omitempty"`
	// FleetLive is the number of live instances in all zones. Only leaders send it.
	FleetLive int `cbor:"13,keyasint,omitempty"`
	// Greeting requests an answer with the members that the receiver knows.
	Greeting bool `cbor:"4,keyasint,omitempty"`
	// KnownMembers is the number of members that the sender of a greeting knows.
	KnownMembers int                `cbor:"14,keyasint,omitempty"`
	Members      []discovery.Member `cbor:"5,keyasint,omitempty"`
	// Loads are load reports of the targets of one or more zones. They are sent as PackedLoads; instances of earlier
	// versions send Loads.
	Loads       []loadReport `cbor:"6,keyasint,omitempty"`
	PackedLoads []byte       `cbor:"20,keyasint,omitempty"`
	// Targets and Config state how far the store was read.
	Targets *targetsUpdate `cbor:"7,keyasint,omitempty"`
	Config  *configStatus  `cbor:"8,keyasint,omitempty"`
	// ShardOwners are the instances that probe the targets of the zone, as its leader assigns them.
	ShardOwners []string `cbor:"15,keyasint,omitempty"`
	// ZoneLeaders are the ids of the leaders of the other zones.
	ZoneLeaders []string `cbor:"18,keyasint,omitempty"`
	// Standbys are the members that receive the heartbeats of the whole zone, besides its leader.
	Standbys []string `cbor:"19,keyasint,omitempty"`
	// ZoneSize is the number of members of the receiver's zone that the sender knows. It is set in answers to
	// greetings.
	ZoneSize int `cbor:"21,keyasint,omitempty"`
	// ZoneFailing is the number of instances of the sender's zone whose reads of the store fail, as far as the sender
	// knows. FleetFailing is that of all zones; only leaders send it.
	ZoneFailing  int `cbor:"23,keyasint,omitempty"`
	FleetFailing int `cbor:"24,keyasint,omitempty"`
	// Marks are crash marks.
	Marks []discovery.CrashMark `cbor:"22,keyasint,omitempty"`
	// MarksDigest is a digest of all crash marks of the sender, 0 for none.
	MarksDigest uint64 `cbor:"25,keyasint,omitempty"`
	// Marker is the number of a datagram of the sender to itself.
	Marker uint64 `cbor:"26,keyasint,omitempty"`
	// Departures are the recent departures of targets that the sender knows. They are set in answers to greetings.
	Departures []registry.Change `cbor:"28,keyasint,omitempty"`
	// Cold are the targets that are cold, as far as the sender knows.
	Cold []coldReport `cbor:"29,keyasint,omitempty"`
	// Leaving is true when the sender is stopping.
	Leaving bool `cbor:"9,keyasint,omitempty"`
	// Claim is sent with ClaimMS only, and Denial without any other field. Key 10 belonged to an earlier version and must not be
	// reused.
	Claim  *claim  `cbor:"16,keyasint,omitempty"`
	Denial *denial `cbor:"17,keyasint,omitempty"`
	// ClaimMS is how many milliseconds the request of the claim is expected to be in flight, 0 if the sender is of an earlier
	// version.
	ClaimMS uint16 `cbor:"27,keyasint,omitempty"`
	// CreditOwner is the newest known record of the owner of the shared limits. Leaders repeat it.
	CreditOwner *credit.Announcement `cbor:"30,keyasint,omitempty"`
	// CreditAsk, CreditAnswer and CreditRefund are sent without any other field.
	CreditAsk    *credit.Ask    `cbor:"31,keyasint,omitempty"`
	CreditAnswer *credit.Answer `cbor:"32,keyasint,omitempty"`
	CreditRefund *credit.Refund `cbor:"33,keyasint,omitempty"`
}

// loadReport is the load of one target. Target is the hash of the target's id.
type loadReport struct {
	_       struct{} `cbor:",toarray"`
	Target  uint32
	Running uint16
	Waiting uint16
	// SlowdownPercent is how long work takes in percent of the usual time: 100 is usual. 0 means that the target is
	// unreachable.
	SlowdownPercent uint16
	// AgeMS is the age of the report in milliseconds.
	AgeMS uint16
}

// targetsUpdate states how far the records of targets were read, with the latest changes.
type targetsUpdate struct {
	// Changes is complete from the offset Base on. Next is the offset to read on from.
	Base    int64             `cbor:"1,keyasint"`
	Next    int64             `cbor:"2,keyasint"`
	AgeMS   int64             `cbor:"3,keyasint"`
	Changes []registry.Change `cbor:"4,keyasint,omitempty"`
	// StoreAnsweringMS is how long ago the store gave the first known answer of the period without an outage that includes
	// the latest read. It is nil if the sender is of an earlier version.
	StoreAnsweringMS *int64 `cbor:"5,keyasint,omitempty"`
	// Answer identifies the answer of the store that AgeMS is the age of.
	Answer storeread.AnswerID `cbor:"6,keyasint"`
	// BaseEra and NextEra are the eras of Base and Next. They are 0 if the sender is of an earlier version.
	BaseEra int64 `cbor:"7,keyasint,omitempty"`
	NextEra int64 `cbor:"8,keyasint,omitempty"`
	// RestoredEra is the era that the last known restore of the store began, and RestoredMS is how long ago that became known.
	// Both are 0 if no restore is known.
	RestoredEra int64 `cbor:"9,keyasint,omitempty"`
	RestoredMS  int64 `cbor:"10,keyasint,omitempty"`
}

func (u *targetsUpdate) base() topic.Position { return topic.Position{Era: u.BaseEra, Offset: u.Base} }

func (u *targetsUpdate) next() topic.Position { return topic.Position{Era: u.NextEra, Offset: u.Next} }

// configStatus states which version of the configuration is in force.
type configStatus struct {
	Version uint64 `cbor:"1,keyasint"`
	AgeMS   int64  `cbor:"2,keyasint"`
	// Answer identifies the answer of the store that AgeMS is the age of.
	Answer storeread.AnswerID `cbor:"3,keyasint"`
	// Evacuations is nil if the sender is of an earlier version. It then tells nothing about how far the topic was read.
	Evacuations *evacuation.Report `cbor:"4,keyasint,omitempty"`
}

// State is everything that an instance needs to start serving.
type State struct {
	Config     *routes.Config
	ConfigNext int64
	ConfigAge  time.Duration
	// ConfigAnswer and TargetsAnswer identify the answers of the store that ConfigAge and TargetsAge are the ages of.
	ConfigAnswer, TargetsAnswer storeread.AnswerID
	Targets                     []registry.Change
	TargetsNext                 int64
	// TargetsFrom is the offset from which on Targets is complete. 0 means that Targets holds all targets.
	TargetsFrom int64
	TargetsAge  time.Duration
	// StoreAnswering is how long ago the store gave the first known answer of the period without an outage that includes
	// the latest read.
	StoreAnswering time.Duration
	Members        []discovery.Member
	TargetsListed  bool
	// ConfigListed is true when the configuration was read, even if there is none yet.
	ConfigListed bool
	// Marks are crash marks. They are set only if the digest of the request differs.
	Marks []discovery.CrashMark
	// MarksRead is true when the sender's marks include those in the store.
	MarksRead bool
	// ConfigEra, TargetsEra and TargetsFromEra are the eras of ConfigNext, TargetsNext and TargetsFrom. They are 0 if the sender
	// is of an earlier version.
	ConfigEra, TargetsEra, TargetsFromEra int64
	// RestoredEra is the era that the last known restore of the store began, and Restored is how long ago that became known.
	// Both are 0 if no restore is known.
	RestoredEra int64
	Restored    time.Duration
	// Evacuations is nil if the sender is of an earlier version.
	Evacuations *evacuation.Report
	// Cold is how much longer targets are cold, by the hash of the target's id.
	Cold map[uint32]time.Duration
	// CreditOwner is the newest known record of the owner of the shared limits, nil if none is known.
	CreditOwner *credit.Announcement
}

func (s *State) configNext() topic.Position {
	return topic.Position{Era: s.ConfigEra, Offset: s.ConfigNext}
}

func (s *State) targetsNext() topic.Position {
	return topic.Position{Era: s.TargetsEra, Offset: s.TargetsNext}
}

func (s *State) targetsFrom() topic.Position {
	return topic.Position{Era: s.TargetsFromEra, Offset: s.TargetsFrom}
}

// StateRequest requests the state of another instance.
type StateRequest struct {
	// HaveVersion is the version of the configuration that the caller has. That configuration is omitted from the
	// answer.
	HaveVersion uint64
	HaveConfig  bool
	// TargetsNext is the offset up to which the caller knows the records of targets, 0 if it knows none. Earlier
	// records are omitted from the answer.
	TargetsNext int64
	// MarksDigest is a digest of the crash marks of the caller. If the marks are the same, they are omitted from the
	// answer.
	MarksDigest uint64
	// TargetsEra is the era of TargetsNext, 0 if the caller is of an earlier version.
	TargetsEra int64
}

func (r *StateRequest) targetsNext() topic.Position {
	return topic.Position{Era: r.TargetsEra, Offset: r.TargetsNext}
}

func encode(d *datagram) ([]byte, error) {
	packed := *d
	packed.Loads, packed.PackedLoads = nil, packLoads(d.Loads)
	return cbor.Marshal(&packed)
}

func decode(b []byte) (*datagram, error) {
	var d datagram
	if err := cbor.Unmarshal(b, &d); err != nil {
		return nil, trace.Wrap(err)
	}
	if d.PackedLoads != nil {
		d.Loads, d.PackedLoads = append(d.Loads, unpackLoads(d.PackedLoads)...), nil
	}
	return &d, nil
}

// packedLoadBytes is the size of a packed load report: five integers of fixed size. Most datagrams consist of load
// reports, and every instance of a zone receives them.
const packedLoadBytes = 12

func packLoads(loads []loadReport) []byte {
	packed := make([]byte, 0, packedLoadBytes*len(loads))
	for _, r := range loads {
		packed = binary.BigEndian.AppendUint32(packed, r.Target)
		for _, value := range [...]uint16{r.Running, r.Waiting, r.SlowdownPercent, r.AgeMS} {
			packed = binary.BigEndian.AppendUint16(packed, value)
		}
	}
	return packed
}

// unpackLoads ignores an incomplete load report at the end.
func unpackLoads(packed []byte) []loadReport {
	loads := make([]loadReport, 0, len(packed)/packedLoadBytes)
	for ; len(packed) >= packedLoadBytes; packed = packed[packedLoadBytes:] {
		loads = append(loads, loadReport{
			Target: binary.BigEndian.Uint32(packed), Running: binary.BigEndian.Uint16(packed[4:]),
			Waiting: binary.BigEndian.Uint16(packed[6:]), SlowdownPercent: binary.BigEndian.Uint16(packed[8:]),
			AgeMS: binary.BigEndian.Uint16(packed[10:]),
		})
	}
	return loads
}

// toDispatchReport converts a load report that was received at a time since the start.
func toDispatchReport(r loadReport, now time.Duration) dispatch.LoadReport {
	return dispatch.LoadReport{
		Running: int(r.Running), Waiting: int(r.Waiting), Slowdown: float64(r.SlowdownPercent) / 100,
		ReceivedAt: now - time.Duration(r.AgeMS)*time.Millisecond,
	}
}
