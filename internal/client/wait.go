package client

import (
	"context"
	"flag"
	"fmt"
	"strings"
	"time"

	"github.com/basillink/basillink/internal/logservice"
)

const (
	// defaultWait is the stated target for a change to be in force everywhere at the two-year size.
	defaultWaitTimeout = 12 * time.Second
	waitPollInterval   = 100 * time.Millisecond
)

// NotInForceError reports a change that was accepted but is not in force on each listed instance in time.
type NotInForceError struct {
	Timeout time.Duration
	// Missing names the instances.
	Missing []string
}

func (e *NotInForceError) Error() string {
	return fmt.Sprintf("accepted, but not in force within %s on: %s", e.Timeout, strings.Join(e.Missing, ", "))
}

// waitOptions are the flags of commands that wait for a change to be in force.
type waitOptions struct {
	wait    bool
	timeout time.Duration
}

func (o *waitOptions) setFlags(f *flag.FlagSet) {
	f.BoolVar(&o.wait, "wait", false, "wait until each listed instance reports the revision in force")
	f.DurationVar(&o.timeout, "timeout", defaultWaitTimeout, "how long to wait")
}

// run waits until each live instance of the list has the published revisions in force.
func (o *waitOptions) waitInForce(ctx context.Context, list logservice.InstanceList, results []PublishResult) error {
	if !o.wait {
		return nil
	}
	waitCtx, cancel := context.WithTimeout(ctx, o.timeout)
	defer cancel()
	missing := []string{"(the list of instances was not read)"}
	for {
		statuses, err := FleetStatus(waitCtx, list)
		if err == nil {
			if missing = instancesWithoutRevisions(statuses, results); len(missing) == 0 {
				return nil
			}
		}
		if sleep(waitCtx, waitPollInterval) != nil {
			return &NotInForceError{Timeout: o.timeout, Missing: missing}
		}
	}
}

// withoutRevisions names the live instances that lack one of the published revisions.
func instancesWithoutRevisions(statuses []InstanceStatus, results []PublishResult) []string {
	var missing []string
	for _, s := range statuses {
		if s.Listed.State != logservice.ListedLeaving && !hasRevisions(s, results) {
			missing = append(missing, s.Listed.ID)
		}
	}
	return missing
}

func hasRevisions(s InstanceStatus, results []PublishResult) bool {
	if s.Status == nil {
		return false
	}
	for _, r := range results {
		if s.Status.Services[r.Service] < r.Revision {
			return false
		}
	}
	return true
}
