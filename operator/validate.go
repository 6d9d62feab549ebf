package operator

import (
	"fmt"
	"math"
	"net/netip"
	"regexp"
	"slices"
)

// InvalidValueError reports a value that is not accepted. Accepted describes the values that are.
type InvalidValueError struct {
	Key      string
	Value    string
	Accepted string
}

func (e *InvalidValueError) Error() string {
	return fmt.Sprintf("%s: value %q is not accepted; accepted: %s", e.Key, e.Value, e.Accepted)
}

// Limits of the values of an intent, and the descriptions of accepted values in errors. MaxTimeoutMS is 24 hours in
// milliseconds.
const (
	MaxTimeoutMS         = 86_400_000
	maxSlots             = 10_000
	maxConnections       = 100_000
	maxInstances         = 10_000
	maxPriority          = 9
	maxProbesPerRequest  = 2
	maxMeasuringRate     = 1e9
	maxNameLength        = 63
	acceptedNameHint     = "lower-case letters, digits and hyphens, 1 to 63 characters"
	acceptedAddressHint  = "an IP address and port such as 10.0.0.7:8080"
	acceptedStateHint    = "active, leaving"
	acceptedUniqueHint   = "a value that occurs once"
	acceptedNonEmptyHint = "at least one entry"
)

var (
	namePattern = regexp.MustCompile(`^[a-z0-9]([a-z0-9-]*[a-z0-9])?$`)
	httpMethods = []string{"GET", "HEAD", "POST", "PUT", "PATCH", "DELETE", "OPTIONS"}
)

// Validate returns an *InvalidValueError for the first value that is not accepted. Provision must be called before, to
// set defaults.
func (in *Intent) Validate() error {
	if len(in.Services) == 0 {
		return invalidValue("service", "", acceptedNonEmptyHint)
	}
	seen := map[string]bool{}
	for i := range in.Services {
		s := &in.Services[i]
		if err := s.Validate(); err != nil {
			return err
		}
		if seen[s.Name] {
			return invalidValue("service.name", s.Name, acceptedUniqueHint)
		}
		seen[s.Name] = true
	}
	return nil
}

// Validate returns an *InvalidValueError for the first value of the service that is not accepted. Provision must be
// called before, to set defaults.
func (s *Service) Validate() error {
	if err := checkName("service.name", s.Name); err != nil {
		return err
	}
	key := "service." + s.Name
	if err := checkName(key+".region", s.Region); err != nil {
		return err
	}
	if err := s.validateLimits(key); err != nil {
		return err
	}
	if err := s.Measuring.validate(key + ".measuring"); err != nil {
		return err
	}
	if err := s.validateZones(key); err != nil {
		return err
	}
	if err := s.validateClasses(key); err != nil {
		return err
	}
	return s.validateTargets(key)
}

func (s *Service) validateLimits(key string) error {
	if err := checkInt(key+".slots_per_target", s.SlotsPerTarget, 1, maxSlots); err != nil {
		return err
	}
	if err := checkInt(key+".connections_per_target", s.ConnectionsPerTarget, 1, maxConnections); err != nil {
		return err
	}
	return checkInt(key+".max_instances", s.MaxInstances, 1, maxInstances)
}

func (s *Service) validateZones(key string) error {
	if len(s.Zones) == 0 {
		return invalidValue(key+".zones", "", acceptedNonEmptyHint)
	}
	for i, zone := range s.Zones {
		if err := checkName(key+".zones", zone); err != nil {
			return err
		}
		if slices.Contains(s.Zones[:i], zone) {
			return invalidValue(key+".zones", zone, acceptedUniqueHint)
		}
	}
	return nil
}

func (s *Service) validateClasses(key string) error {
	if len(s.Classes) == 0 {
		return invalidValue(key+".class", "", acceptedNonEmptyHint)
	}
	seen := map[string]bool{}
	for _, c := range s.Classes {
		if err := c.validate(key); err != nil {
			return err
		}
		if seen[c.Name] {
			return invalidValue(key+".class.name", c.Name, acceptedUniqueHint)
		}
		seen[c.Name] = true
	}
	return nil
}

func (s *Service) validateTargets(key string) error {
	seen := map[string]bool{}
	for _, t := range s.Targets {
		if err := t.validate(key, s.Zones); err != nil {
			return err
		}
		if seen[t.Address] {
			return invalidValue(key+".target.address", t.Address, acceptedUniqueHint)
		}
		seen[t.Address] = true
	}
	for _, zone := range s.Zones {
		hasTarget := func(t Target) bool { return t.Zone == zone }
		if len(s.Targets) > 0 && !slices.ContainsFunc(s.Targets, hasTarget) {
			return invalidValue(key+".zones", zone, "an availability zone with at least one target")
		}
	}
	return nil
}

func (m *Measuring) validate(key string) error {
	if err := checkFloat(key+".probes_per_s", m.ProbesPerSecond, 0, maxMeasuringRate); err != nil {
		return err
	}
	if err := checkFloat(key+".bytes_per_s", m.BytesPerSecond, 0, maxMeasuringRate); err != nil {
		return err
	}
	return checkFloat(key+".probes_per_request", m.ProbesPerRequest, 0, maxProbesPerRequest)
}

func (c *Class) validate(service string) error {
	if err := checkName(service+".class.name", c.Name); err != nil {
		return err
	}
	key := service + ".class." + c.Name
	for _, method := range c.Methods {
		if !slices.Contains(httpMethods, method) {
			return invalidValue(key+".methods", method, fmt.Sprint(httpMethods))
		}
	}
	if c.PathPrefix != "" && c.PathPrefix[0] != '/' {
		return invalidValue(key+".path_prefix", c.PathPrefix, "empty or a path that starts with /")
	}
	if err := checkInt(key+".priority", c.Priority, 0, maxPriority); err != nil {
		return err
	}
	return checkInt(key+".timeout_ms", c.TimeoutMS, 1, MaxTimeoutMS)
}

func (t *Target) validate(service string, zones []string) error {
	address, err := netip.ParseAddrPort(t.Address)
	if err != nil || address.Port() == 0 {
		return invalidValue(service+".target.address", t.Address, acceptedAddressHint)
	}
	key := service + ".target." + t.Address
	if !slices.Contains(zones, t.Zone) {
		return invalidValue(key+".zone", t.Zone, fmt.Sprint(zones))
	}
	if t.State != TargetActive && t.State != TargetLeaving {
		return invalidValue(key+".state", string(t.State), acceptedStateHint)
	}
	return nil
}

func checkName(key, value string) error {
	if len(value) > maxNameLength || !namePattern.MatchString(value) {
		return invalidValue(key, value, acceptedNameHint)
	}
	return nil
}

func checkInt(key string, value, lowest, highest int) error {
	if value < lowest || value > highest {
		return invalidValue(key, fmt.Sprint(value), fmt.Sprintf("%d to %d", lowest, highest))
	}
	return nil
}

func checkFloat(key string, value, lowest, highest float64) error {
	if math.IsNaN(value) || value < lowest || value > highest {
		return invalidValue(key, fmt.Sprint(value), fmt.Sprintf("%g to %g", lowest, highest))
	}
	return nil
}

func invalidValue(key, value, accepted string) error {
	return &InvalidValueError{Key: key, Value: value, Accepted: accepted}
}
