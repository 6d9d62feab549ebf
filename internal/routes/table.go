package routes

import (
	"fmt"
	"slices"
	"strings"
	"sync/atomic"
	"time"
)

// Defaults for limits that a configuration leaves out.
const (
	defaultMaxHeaderBytes = 16 << 10
	defaultMaxBodyBytes   = 64 << 20
	defaultHeaderTimeout  = 5 * time.Second
	defaultIdleTimeout    = 60 * time.Second
)

// ConfigError reports a configuration that cannot be applied.
type ConfigError struct {
	Version uint64
	Route   string
	Detail  string
}

func (e *ConfigError) Error() string {
	return fmt.Sprintf("configuration %08x: route %q: %s", e.Version, e.Route, e.Detail)
}

// Table selects the route of a request. It is safe for concurrent use.
type Table struct {
	Version  uint64
	Limits   Limits
	Services map[string]Service
	hosts    map[string][]*Entry
}

// Entry is a route of a table with the state of its weighted split.
type Entry struct {
	Route
	total int
	turn  atomic.Uint64
}

// Build checks a configuration and returns its table.
func Build(c *Config) (*Table, error) {
	t := &Table{Version: c.Version, Limits: withDefaults(c.Limits), Services: map[string]Service{}, hosts: map[string][]*Entry{}}
	for _, service := range c.Services {
		t.Services[service.Name] = service
	}
	for i := range c.Routes {
		if err := t.add(&c.Routes[i]); err != nil {
			return nil, err
		}
	}
	for _, entries := range t.hosts {
		slices.SortStableFunc(entries, func(a, b *Entry) int { return len(b.PathPrefix) - len(a.PathPrefix) })
	}
	return t, nil
}

func (t *Table) add(route *Route) error {
	if !strings.HasPrefix(route.PathPrefix, "/") || !strings.HasSuffix(route.PathPrefix, "/") {
		return &ConfigError{t.Version, route.Name, "the path prefix does not begin and end with a slash"}
	}
	entry := &Entry{Route: *route}
	for _, share := range route.Split {
		if _, known := t.Services[share.Service]; !known {
			return &ConfigError{t.Version, route.Name, "unknown service " + share.Service}
		}
		if share.Weight < 0 {
			return &ConfigError{t.Version, route.Name, "a weight is negative"}
		}
		entry.total += share.Weight
	}
	if entry.total == 0 {
		return &ConfigError{t.Version, route.Name, "no service has a positive weight"}
	}
	host := strings.ToLower(route.Host)
	t.hosts[host] = append(t.hosts[host], entry)
	return nil
}

func withDefaults(l Limits) Limits {
	if l.MaxHeaderBytes <= 0 {
		l.MaxHeaderBytes = defaultMaxHeaderBytes
	}
	if l.MaxBodyBytes <= 0 {
		l.MaxBodyBytes = defaultMaxBodyBytes
	}
	if l.HeaderTimeout <= 0 {
		l.HeaderTimeout = defaultHeaderTimeout
	}
	if l.IdleTimeout <= 0 {
		l.IdleTimeout = defaultIdleTimeout
	}
	return l
}

// Match returns the route with the longest path prefix of the host, or nil. The host may carry a port.
func (t *Table) Match(host, path string) *Entry {
	if i := strings.LastIndexByte(host, ':'); i > 0 && !strings.HasSuffix(host, "]") {
		host = host[:i]
	}
	for _, entry := range t.hosts[strings.ToLower(host)] {
		if strings.HasPrefix(path, entry.PathPrefix) {
			return entry
		}
	}
	return nil
}

// splitStride is coprime to the usual totals of weights, so that consecutive requests spread over the parts instead of
// filling one part first.
const splitStride = 7919

// NextService returns the service of the next request. Over any run of requests each service gets its share of the weights, so
// that short intervals keep to the split as well.
func (e *Entry) NextService() string {
	if len(e.Split) == 1 {
		return e.Split[0].Service
	}
	point := int(e.turn.Add(1) * splitStride % uint64(e.total))
	for _, share := range e.Split {
		if point -= share.Weight; point < 0 {
			return share.Service
		}
	}
	return e.Split[len(e.Split)-1].Service
}
