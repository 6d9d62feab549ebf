package standin

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/basillink/basillink/internal/logservice"
)

// InstanceList is an in-memory logservice.InstanceList. Changes become visible after a delay, as on the real platform.
// It is safe for concurrent use.
type InstanceList struct {
	mu       sync.Mutex
	lag      time.Duration
	down     bool
	versions []listVersion
}

// listVersion is a content of the list. It is visible from the time setAt plus the lag until the next version is.
type listVersion struct {
	setAt     time.Time
	instances []logservice.ListedInstance
}

// NewInstanceList returns an empty list. A change becomes visible after lag.
func NewInstanceList(lag time.Duration) *InstanceList { return &InstanceList{lag: lag} }

// Set replaces the entries. Readers see them after the lag.
func (l *InstanceList) Set(instances []logservice.ListedInstance) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.versions = append(l.versions, listVersion{setAt: time.Now(), instances: slices.Clone(instances)})
}

// SetDown starts or ends an outage.
func (l *InstanceList) SetDown(down bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.down = down
}

// Instances implements logservice.InstanceList.
func (l *InstanceList) Instances(context.Context) ([]logservice.ListedInstance, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.down {
		return nil, &UnavailableError{}
	}
	visible := -1
	for i, version := range l.versions {
		if time.Since(version.setAt) >= l.lag {
			visible = i
		}
	}
	if visible < 0 {
		return nil, nil
	}
	l.versions = l.versions[visible:]
	return slices.Clone(l.versions[0].instances), nil
}
