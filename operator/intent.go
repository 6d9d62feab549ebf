package operator

// Intent is the desired routing configuration of one or more services.
type Intent struct {
	Services []Service `toml:"service"`
}

// Service declares the targets of one service and the rules for its requests.
type Service struct {
	// Name identifies the service. It consists of 1 to 63 lower-case letters, digits and hyphens, and starts and ends
	// with a letter or digit.
	Name string `toml:"name"`
	// Region is the region of the service's availability zones.
	Region string `toml:"region"`
	// Zones lists the availability zones in which targets may run. It must not be empty.
	Zones []string `toml:"zones"`
	// SlotsPerTarget is the number of requests that a target runs concurrently. Accepted: 1 to 10,000. Default: 4.
	SlotsPerTarget int `toml:"slots_per_target"`
	// ConnectionsPerTarget is the number of connections that a target accepts from all instances together.
	// Accepted: 1 to 100,000. Default: 250.
	ConnectionsPerTarget int `toml:"connections_per_target"`
	// MaxInstances is the maximum number of instances that run at the same time, including both generations during a
	// rolling replacement. Budgets and connections are divided by it.
	// Accepted: 1 to 10,000. Default: 40.
	MaxInstances int `toml:"max_instances"`
	// Measuring is the agreed budget for measuring the load of targets.
	Measuring Measuring `toml:"measuring"`
	// Classes lists the request classes. The first class that matches a request applies. It must not be empty.
	Classes []Class `toml:"class"`
	// Targets lists the targets of the service. If it is not empty, each zone must have at least one target.
	Targets []Target `toml:"target"`
}

// Measuring limits the cost of measuring the load of targets. The limits apply to all instances and all kinds of
// measurement together.
type Measuring struct {
	// ProbesPerSecond is the maximum number of probes per second, averaged over 10 s. 0 disables probing.
	// Accepted: 0 to 1e9. Default: 0.
	ProbesPerSecond float64 `toml:"probes_per_s"`
	// BytesPerSecond is the maximum traffic of measurements in both directions, in bytes per second averaged over 10 s.
	// Accepted: 0 to 1e9. Default: 0.
	BytesPerSecond float64 `toml:"bytes_per_s"`
	// ProbesPerRequest ties the probe rate to the request rate: it is the number of load probes sent per request, unless
	// one of the limits above is reached. Accepted: 0 to 2. Default: 0.
	ProbesPerRequest float64 `toml:"probes_per_request"`
}

// Class is a set of requests of a service that share rules for retries, timeouts and load shedding.
type Class struct {
	// Name identifies the class within its service. It has the same form as the name of a service.
	Name string `toml:"name"`
	// Methods lists the HTTP methods of the class. An empty list matches every method.
	Methods []string `toml:"methods"`
	// PathPrefix is the prefix of the paths of the class. It must start with a slash. An empty prefix matches every path.
	PathPrefix string `toml:"path_prefix"`
	// Repeatable permits retries. A request of a class that is not repeatable is run at most once.
	Repeatable bool `toml:"repeatable"`
	// Priority orders load shedding. Requests of the lowest priority are shed first. Accepted: 0 to 9. Default: 0.
	Priority int `toml:"priority"`
	// TimeoutMS is the time limit for an answer in milliseconds. Accepted: 1 to 86,400,000. Default: 1,000.
	TimeoutMS int `toml:"timeout_ms"`
	// Long marks a class whose answers may take minutes and may be large. Its requests are not cancelled at a drain limit.
	Long bool `toml:"long"`
}

// TargetState is the state that an operator requests for a target.
type TargetState string

// States of a target.
const (
	// TargetActive means that the target receives requests.
	TargetActive TargetState = "active"
	// TargetLeaving means that the target finishes the requests in flight and receives no new ones.
	TargetLeaving TargetState = "leaving"
)

// Target is a server that answers requests of a service.
type Target struct {
	// Address is the IP address and port of the target, for example "10.0.0.7:8080".
	Address string `toml:"address"`
	// Zone is the availability zone of the target. It must be one of the service's zones.
	Zone string `toml:"zone"`
	// State is the requested state of the target. Default: TargetActive.
	State TargetState `toml:"state"`
}
