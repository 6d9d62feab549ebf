package settings

import "syscall"

const (
	bytesPerMB = 1 << 20
	// requestMemoryPercent is the share of the memory besides programBytes that the requests in flight may hold. The rest is for
	// garbage until it is collected, connections without a request and control state.
	requestMemoryPercent = 50
	// runtimeMemoryPercent is the share of the memory from which on the runtime collects garbage more often, and runtimeHeapPercent
	// the same of the memory besides programBytes. The runtime's limit is a soft one: what is allocated during a collection comes on
	// top.
	runtimeMemoryPercent = 80
	runtimeHeapPercent   = 90
	// programBytes is memory that the runtime does not count: the pages of the program.
	programBytes = 24 * bytesPerMB
	// connectionsPerMB is the default number of connections of callers for each MB of memory. An idle one takes about 17 KB.
	connectionsPerMB = 10
	// connectionDescriptorPercent is the share of the descriptors that connections of callers may take by default. The rest is for
	// connections to targets and for files.
	connectionDescriptorPercent = 70
)

// RequestBytes returns how many bytes the requests in flight may hold.
func (m Memory) RequestBytes() int64 { return m.heapBytes() * requestMemoryPercent / 100 }

// RuntimeBytes returns the memory limit of the runtime in bytes.
func (m Memory) RuntimeBytes() int64 {
	return min(int64(m.LimitMB)*bytesPerMB*runtimeMemoryPercent/100, m.heapBytes()*runtimeHeapPercent/100)
}

// heapBytes returns the memory besides the pages of the program.
func (m Memory) heapBytes() int64 { return int64(m.LimitMB)*bytesPerMB - programBytes }

// RequestBytes returns how many bytes the requests in flight may hold.
func (m EdgeMemory) RequestBytes() int64 { return Memory(m).RequestBytes() }

// RuntimeBytes returns the memory limit of the runtime in bytes.
func (m EdgeMemory) RuntimeBytes() int64 { return Memory(m).RuntimeBytes() }

// ConnectionLimit returns MaxConnections, or its default for the memory and the descriptors of the process.
func (l Listen) ConnectionLimit(m Memory) int { return connectionLimit(l.MaxConnections, m) }

// ConnectionLimit returns MaxConnections, or its default for the memory and the descriptors of the process.
func (l EdgeListen) ConnectionLimit(m EdgeMemory) int {
	return connectionLimit(l.MaxConnections, Memory(m))
}

func connectionLimit(configured int, m Memory) int {
	if configured > 0 {
		return configured
	}
	limit := m.LimitMB * connectionsPerMB
	var descriptors syscall.Rlimit
	if syscall.Getrlimit(syscall.RLIMIT_NOFILE, &descriptors) != nil {
		return limit
	}
	return int(min(uint64(limit), descriptors.Cur/100*connectionDescriptorPercent))
}
