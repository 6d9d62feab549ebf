package operator

// Default values of the fields of Service and Class. DefaultTimeoutMS is in milliseconds.
const (
	DefaultSlotsPerTarget       = 4
	DefaultConnectionsPerTarget = 250
	DefaultMaxInstances         = 40
	DefaultTimeoutMS            = 1000
)

// Provision sets the fields of all services that have a default and are zero. It is idempotent.
func (in *Intent) Provision() {
	for i := range in.Services {
		in.Services[i].Provision()
	}
}

// Provision sets the fields of the service, its classes and its targets that have a default and are zero. It is
// idempotent.
func (s *Service) Provision() {
	setDefault(&s.SlotsPerTarget, DefaultSlotsPerTarget)
	setDefault(&s.ConnectionsPerTarget, DefaultConnectionsPerTarget)
	setDefault(&s.MaxInstances, DefaultMaxInstances)
	for i := range s.Classes {
		setDefault(&s.Classes[i].TimeoutMS, DefaultTimeoutMS)
	}
	for i := range s.Targets {
		if s.Targets[i].State == "" {
			s.Targets[i].State = TargetActive
		}
	}
}

func setDefault(field *int, value int) {
	if *field == 0 {
		*field = value
	}
}
