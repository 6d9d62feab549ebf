package operator

// Intent is the routing intent of one or more services.
type Intent struct {
	Services []Service `toml:"service"`
}

// Service declares who answers the requests of one service and how.
type Service struct {
	// Name identifies the service. Lower-case letters, digits and hyphens, 1 to 63 characters.
	Name string `toml:"name"`
	// Region is the region that holds the service's availability zones.
	Region string `toml:"region"`
	// Zones lists the availability zones in which targets may run. At least one.
	Zones []string `toml:"zones"`
	// SlotsPerTarget is the number of requests a target runs at once. 1 to 10,000. Default 4.
	SlotsPerTarget int `toml:"slots_per_target"`
	// ConnectionsPerTarget is the number of connections a target accepts over all instances.
	// 1 to 100,000. Default 250.
	ConnectionsPerTarget int `toml:"connections_per_target"`
	// MaxInstances is the highest number of instances that run at once, both generations of a rolling
	// replacement included. Budgets and connections are divided by it. 1 to 10,000. Default 40.
	MaxInstances int `toml:"max_instances"`
	// Measuring is the agreed budget for measuring target load.
	Measuring Measuring `toml:"measuring"`
	// Classes lists the request classes. The first class that matches a request applies.
	Classes []Class `toml:"class"`
	// Targets lists the servers that answer requests.
	Targets []Target `toml:"target"`
}

// Measuring bounds what measuring target load may cost, over all instances and
// all kinds of measuring.
type Measuring struct {
	// ProbesPerSecond is the highest probe rate, averaged over 10 s. 0 disables probing. Default 0.
	ProbesPerSecond float64 `toml:"probes_per_s"`
	// BytesPerSecond is the highest traffic of measuring in both directions, averaged over 10 s.
	// Unit bytes per second. Default 0.
	BytesPerSecond float64 `toml:"bytes_per_s"`
	// ProbesPerRequest ties probing to the request rate. 0 to 2. Default 0.
	ProbesPerRequest float64 `toml:"probes_per_request"`
}

// Class groups requests that share rules for repetition, time and shedding.
type Class struct {
	// Name identifies the class within its service.
	Name string `toml:"name"`
	// Methods lists the HTTP methods of the class. Empty matches every method.
	Methods []string `toml:"methods"`
	// PathPrefix selects requests by path. Empty matches every path.
	PathPrefix string `toml:"path_prefix"`
	// Repeatable permits retries. A request of a class that is not repeatable runs at most once.
	Repeatable bool `toml:"repeatable"`
	// Priority orders shedding: the lowest priority is shed first. 0 to 9. Default 0.
	Priority int `toml:"priority"`
	// TimeoutMS is the time limit for an answer in milliseconds. 1 to 86,400,000. Default 1,000.
	TimeoutMS int `toml:"timeout_ms"`
	// Long marks answers that may take minutes and may be large; they are not cut off by a drain limit.
	Long bool `toml:"long"`
}

// TargetState is what an operator decided about a target.
type TargetState string

// Target states.
const (
	// TargetActive receives requests.
	TargetActive TargetState = "active"
	// TargetLeaving finishes the requests in flight and receives no new ones.
	TargetLeaving TargetState = "leaving"
)

// Target is one server that answers requests of a service.
type Target struct {
	// Address is the IP address and port, for example "10.0.0.7:8080".
	Address string `toml:"address"`
	// Zone is the availability zone of the target. One of the service's zones.
	Zone string `toml:"zone"`
	// State is "active" (default) or "leaving".
	State TargetState `toml:"state"`
}
