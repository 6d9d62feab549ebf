package intent

import (
	"bytes"
	"testing"

	"github.com/basillink/basillink/internal/logservice"
)

const fuzzIntent = `[[service]]
name = "flightdesk"
region = "tz-north"
zones = ["tz-north-a"]
[service.measuring]
probes_per_s = 400.0
probes_per_request = 0.25
[[service.class]]
name = "reservation"
methods = ["POST"]
path_prefix = "/reservations"
[[service.class]]
name = "summary"
repeatable = true
long = true
[[service.target]]
address = "10.0.0.7:8080"
zone = "tz-north-a"
state = "leaving"
`

// Guards against intent that is accepted but changes or fails when it is encoded and decoded again, and against panics.
func FuzzDecode(f *testing.F) {
	f.Add([]byte(fuzzIntent))
	f.Add([]byte("[[service]]\nname = \"a\"\n"))
	f.Add([]byte("service = 3\n"))
	f.Add([]byte("[[service]]\nprobes_per_s = nan\n"))
	f.Fuzz(func(t *testing.T, data []byte) {
		in, err := Decode("fuzz", data)
		if err != nil {
			return
		}
		for _, service := range in.Services {
			text, err := EncodeService(service)
			if err != nil {
				t.Fatalf("cannot encode what was accepted: %v", err)
			}
			again, err := Decode("again", []byte(text))
			if err != nil {
				t.Fatalf("cannot decode what was encoded: %v\n%s", err, text)
			}
			second, err := EncodeService(again.Services[0])
			if err != nil || second != text {
				t.Fatalf("not stable: %v\n%s\n%s", err, text, second)
			}
		}
	})
}

// Guards against records that cause a panic or different results on two instances.
func FuzzApply(f *testing.F) {
	change := &Record{Kind: KindChange, Change: &Change{ID: "1", Service: "flightdesk", Spec: fuzzIntent}}
	payload, err := change.Encode()
	if err != nil {
		f.Fatal(err)
	}
	f.Add(payload)
	f.Add([]byte(`{"kind":"checkpoint","checkpoint":{"state":{"services":{"a":null},"removed":{}},"digest":""}}`))
	f.Add([]byte(`{"kind":"change"}`))
	f.Add([]byte(`{"kind":"change","format":2} x`))
	f.Fuzz(func(t *testing.T, data []byte) {
		first, second := NewState(), NewState()
		record := logservice.Record{Offset: 1, Payload: data}
		a, b := first.Apply(record), second.Apply(logservice.Record{Offset: 1, Payload: bytes.Clone(data)})
		if a.Verdict != b.Verdict || first.Digest() != second.Digest() || first.Through != 1 {
			t.Fatalf("verdicts %s and %s", a.Verdict, b.Verdict)
		}
		// Records 1 to 4 are missing, so the fold searches for a checkpoint in this record.
		gap := logservice.Page{Earliest: 5, Next: 6, Records: []logservice.Record{{Offset: 5, Payload: data}}}
		if fold := NewFold(); fold.ApplyPage(gap, func(Decision) {}) == nil && fold.State().Through < 4 {
			t.Fatalf("no error at offset %d although records 1 to 4 are missing", fold.State().Through)
		}
	})
}
