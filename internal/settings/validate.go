package settings

import (
	"fmt"
	"net/netip"
	"regexp"
	"slices"
	"strings"

	"github.com/basillink/basillink/internal/balancer"
)

// Defaults of settings.
const (
	DefaultPolicy              = balancer.NameCombined
	DefaultMaxRequestBodyBytes = 1 << 20
	DefaultMaxHeaderBytes      = 16 << 10
	DefaultMaxAnswerBytes      = 64 << 20
)

const (
	maxDrainMS      = 86_400_000
	minSecretLength = 16
	maxSecretLength = 256
)

var idPattern = regexp.MustCompile(`^[a-z0-9]([a-z0-9-]{0,61}[a-z0-9])?$`)

// Provision fills in defaults for settings that are not given. It is idempotent.
func (s *Settings) Provision() {
	defaultString(&s.Balancer.Policy, DefaultPolicy)
	defaultString(&s.Log.Level, "info")
	defaultString(&s.Log.Format, "text")
	defaultInt(&s.Limits.MaxRequestBodyBytes, DefaultMaxRequestBodyBytes)
	defaultInt(&s.Limits.MaxHeaderBytes, DefaultMaxHeaderBytes)
	defaultInt(&s.Limits.MaxAnswerBytes, DefaultMaxAnswerBytes)
}

// Validate returns the first setting that is not accepted as *Error.
func (s *Settings) Validate(file string) error {
	checks := []func(string) error{
		s.validateInstance, s.validateListen, s.validatePlatform, s.validatePeer, s.validateBalancer,
		s.validateLimits, s.validateLog,
	}
	for _, check := range checks {
		if err := check(file); err != nil {
			return err
		}
	}
	return nil
}

func (s *Settings) validateInstance(file string) error {
	const accepted = "lower-case letters, digits and hyphens, 1 to 63 characters"
	if !idPattern.MatchString(s.Instance.ID) {
		return &Error{file, "instance.id", s.Instance.ID, accepted}
	}
	if !idPattern.MatchString(s.Instance.Zone) {
		return &Error{file, "instance.zone", s.Instance.Zone, accepted}
	}
	return nil
}

func (s *Settings) validateListen(file string) error {
	used := map[string]string{}
	listeners := []struct{ key, address string }{
		{"listen.caller", s.Listen.Caller},
		{"listen.admin", s.Listen.Admin},
		{"listen.peer", s.Listen.Peer},
	}
	for _, l := range listeners {
		if err := checkAddress(file, l.key, l.address); err != nil {
			return err
		}
		if other, ok := used[l.address]; ok {
			return &Error{file, l.key, l.address, "an address that differs from " + other}
		}
		used[l.address] = l.key
	}
	return nil
}

func (s *Settings) validatePlatform(file string) error {
	return checkAddress(file, "platform.address", s.Platform.Address)
}

func (s *Settings) validatePeer(file string) error {
	if n := len(s.Peer.Secret); n < minSecretLength || n > maxSecretLength {
		return &Error{file, "peer.secret", fmt.Sprintf("(%d characters)", n), "16 to 256 characters"}
	}
	for _, seed := range s.Peer.Seeds {
		if err := checkAddress(file, "peer.seeds", seed); err != nil {
			return err
		}
	}
	return nil
}

func (s *Settings) validateBalancer(file string) error {
	if _, ok := balancer.Find(s.Balancer.Policy); !ok {
		return &Error{file, "balancer.policy", s.Balancer.Policy, strings.Join(balancer.Names(), ", ")}
	}
	return nil
}

func (s *Settings) validateLimits(file string) error {
	limits := []struct {
		key                    string
		value, lowest, highest int
	}{
		{"limits.max_request_body_bytes", s.Limits.MaxRequestBodyBytes, 1, 64 << 20},
		{"limits.max_header_bytes", s.Limits.MaxHeaderBytes, 1 << 10, 1 << 20},
		{"limits.max_answer_bytes", s.Limits.MaxAnswerBytes, 1 << 10, 1 << 30},
		{"drain.limit_ms", s.Drain.LimitMS, 0, maxDrainMS},
	}
	for _, l := range limits {
		if l.value < l.lowest || l.value > l.highest {
			return &Error{file, l.key, fmt.Sprint(l.value), fmt.Sprintf("%d to %d", l.lowest, l.highest)}
		}
	}
	return nil
}

func (s *Settings) validateLog(file string) error {
	if !slices.Contains([]string{"debug", "info", "warn", "error"}, s.Log.Level) {
		return &Error{file, "log.level", s.Log.Level, "debug, info, warn, error"}
	}
	if !slices.Contains([]string{"text", "json"}, s.Log.Format) {
		return &Error{file, "log.format", s.Log.Format, "text, json"}
	}
	return nil
}

func checkAddress(file, key, value string) error {
	address, err := netip.ParseAddrPort(value)
	if err != nil || address.Port() == 0 {
		return &Error{file, key, value, "an IP address and port such as 10.0.0.7:8080"}
	}
	return nil
}

func defaultString(field *string, value string) {
	if *field == "" {
		*field = value
	}
}

func defaultInt(field *int, value int) {
	if *field == 0 {
		*field = value
	}
}
