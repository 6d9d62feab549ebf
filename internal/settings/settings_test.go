package settings

import (
	"errors"
	"strings"
	"testing"
)

const validSettings = `
[instance]
id = "i1"
zone = "tz-north-a"
[listen]
caller = "127.0.0.1:8080"
admin = "127.0.0.1:8081"
peer = "127.0.0.1:8082"
[platform]
address = "127.0.0.1:7000"
[peer]
secret = "a secret of the test fleet"
`

// Guards against invalid settings that are accepted, and against errors that do not name the file, the key, the value and
// what is accepted.
func TestDecodeRejectsInvalidSettings(t *testing.T) {
	cases := []struct{ name, old, new, key, value, accepted string }{
		{"unknown key", `id = "i1"`, "id = \"i1\"\nname = \"x\"", "instance.name", `"x"`, "a known key: instance.id, instance.zone"},
		{"unknown section", "[platform]", "[plattform]", "plattform", "", "a known key: instance, listen, platform, peer"},
		{"wrong type", "[platform]", "[drain]\nlimit_ms = \"500\"\n[platform]", "drain.limit_ms", `"500"`, "integer: 0 to 86400000"},
		{"wrong unit", "[platform]", "[drain]\nlimit_ms = 5s\n[platform]", "line 10", "5s", "valid TOML"},
		{"fraction", "[platform]", "[drain]\nlimit_ms = 0.5\n[platform]", "drain.limit_ms", "0.5", "integer: 0 to 86400000"},
		{"below range", "[platform]", "[limits]\nmax_header_bytes = 1023\n[platform]", "limits.max_header_bytes", "1023", "1024 to 1048576"},
		{"explicit zero", "[platform]", "[limits]\nmax_answer_bytes = 0\n[platform]", "limits.max_answer_bytes", "0", "1024 to 1073741824"},
		{"above range", "[platform]", "[drain]\nlimit_ms = 86400001\n[platform]", "drain.limit_ms", "86400001", "0 to 86400000"},
		{"beyond integers", "[platform]", "[drain]\nlimit_ms = 99999999999999999999\n[platform]", "drain.limit_ms", "99999999999999999999", "0 to 86400000"},
		{"empty level", "[platform]", "[log]\nlevel = \"\"\n[platform]", "log.level", "", "debug, info, warn, error"},
		{"unknown policy", "[platform]", "[balancer]\npolicy = \"fastest\"\n[platform]", "balancer.policy", "fastest", "random, round_robin, two_choices, probing, latency_weighted, reported, combined"},
		{"missing", `zone = "tz-north-a"`, "", "instance.zone", "", "lower-case letters"},
		{"host name", `"127.0.0.1:7000"`, `"localhost:7000"`, "platform.address", "localhost:7000", "an IP address and port"},
		{"port zero", `"127.0.0.1:7000"`, `"127.0.0.1:0"`, "platform.address", "127.0.0.1:0", "an IP address and port"},
		{"same address", `"127.0.0.1:8082"`, `"127.0.0.1:8081"`, "listen.peer", "127.0.0.1:8081", "an address that differs from listen.admin"},
		{"wildcard", `"127.0.0.1:8082"`, `"0.0.0.0:8080"`, "listen.peer", "0.0.0.0:8080", "an address that differs from listen.caller"},
		{"short secret", "a secret of the test fleet", "short", "peer.secret", "(5 characters)", "16 to 256 characters"},
		{"seed", `secret =`, "seeds = [\"10.0.0.1\"]\nsecret =", "peer.seeds", "10.0.0.1", "IP addresses with ports"},
		{"key twice", `zone = "tz-north-a"`, "zone = \"a\"\nzone = \"b\"", "zone", `"b"`, "already defined"},
	}
	if _, err := Decode("f.toml", []byte(validSettings)); err != nil {
		t.Fatal(err)
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			_, err := Decode("f.toml", []byte(strings.Replace(validSettings, c.old, c.new, 1)))
			var e *Error
			if !errors.As(err, &e) {
				t.Fatalf("got %v", err)
			}
			if e.File != "f.toml" || e.Key != c.key || e.Value != c.value || !strings.Contains(e.Accepted, c.accepted) {
				t.Fatalf("got %v", e)
			}
		})
	}
}

// Guards against a secret in the error, and so in the log, when the setting has the wrong type.
func TestSecretIsHidden(t *testing.T) {
	_, err := Decode("f.toml", []byte(strings.Replace(validSettings, `"a secret of the test fleet"`, `1234567890123456`, 1)))
	if err == nil || strings.Contains(err.Error(), "123456") || !strings.Contains(err.Error(), "peer.secret") {
		t.Fatalf("got %v", err)
	}
}

// Guards against typing errors in struct tags. Each setting must have a rule that accepts its default.
func TestTags(t *testing.T) {
	s, err := Decode("f.toml", []byte(validSettings))
	if err != nil {
		t.Fatal(err)
	}
	for _, field := range fieldsOf(s) {
		if field.Accepted == "" {
			t.Errorf("%s has no rule", field.Key)
		}
		if text, rejected := field.rule.violation(field.value); rejected {
			t.Errorf("%s: the default %q is not accepted", field.Key, text)
		}
	}
	if s.Limits.MaxHeaderBytes != 16384 || s.Log.Level != "info" || s.Balancer.Policy != "combined" || s.Peer.Seeds != nil {
		t.Errorf("defaults: %+v", s)
	}
}
