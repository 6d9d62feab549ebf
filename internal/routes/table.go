package routes

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"sync/atomic"
	"time"
)

// Defaults for limits that a configuration does not set.
const (
	defaultMaxHeaderBytes = 16 << 10
	defaultMaxBodyBytes   = 64 << 20
	defaultHeaderTimeout  = 5 * time.Second
	defaultIdleTimeout    = 60 * time.Second
)

// ConfigError reports an invalid configuration.
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
	splits   []*Entry
	// workspaces holds the workspaces by the hashes of their keys.
	workspaces   map[KeyHash]*Workspace
	requiresKeys bool
}

// Entry is a route of a Table with the state of its weighted split. It is safe for concurrent use.
type Entry struct {
	Route
	totalWeight int
	// sequence is nil for a route without a split.
	sequence *splitSequence
	// choices counts the requests for which NextService has chosen each share of the split.
	choices []atomic.Int64
}

// Build validates a configuration and returns its table. The splits that the previous table has too go on with its sequences; it is
// nil for the first table. The error is a *ConfigError.
func Build(c *Config, previous *Table, random *rand.Rand) (*Table, error) {
	t := &Table{Version: c.Version, Limits: withDefaults(c.Limits), Services: map[string]Service{}, hosts: map[string][]*Entry{}}
	for _, service := range c.Services {
		t.Services[service.Name] = service
	}
	for i := range c.Routes {
		if err := t.add(&c.Routes[i]); err != nil {
			return nil, err
		}
	}
	t.setSplitSequences(previous, random)
	t.requiresKeys = len(c.Workspaces) > 0
	if err := t.addWorkspaces(c.Workspaces); err != nil {
		return nil, err
	}
	for _, entries := range t.hosts {
		slices.SortStableFunc(entries, func(a, b *Entry) int { return len(b.PathPrefix) - len(a.PathPrefix) })
	}
	return t, nil
}

func (t *Table) add(route *Route) error {
	if !strings.HasPrefix(route.PathPrefix, "/") || !strings.HasSuffix(route.PathPrefix, "/") {
		return &ConfigError{t.Version, route.Name, fmt.Sprintf("path prefix %q does not begin and end with a slash", route.PathPrefix)}
	}
	entry := &Entry{Route: *route, choices: make([]atomic.Int64, len(route.Split))}
	for _, share := range route.Split {
		if _, ok := t.Services[share.Service]; !ok {
			return &ConfigError{t.Version, route.Name, fmt.Sprintf("unknown service %q", share.Service)}
		}
		if share.Weight < 0 {
			return &ConfigError{t.Version, route.Name, fmt.Sprintf("service %q has the negative weight %d", share.Service, share.Weight)}
		}
		entry.totalWeight += share.Weight
	}
	if entry.totalWeight == 0 {
		return &ConfigError{t.Version, route.Name, "no service has a positive weight"}
	}
	host := strings.ToLower(route.Host)
	t.hosts[host] = append(t.hosts[host], entry)
	if entry.IsSplit() {
		t.splits = append(t.splits, entry)
	}
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

// Match returns the route of the host whose path prefix is the longest match, or nil if there is none. The host is
// case-insensitive and may include a port.
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
