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
	// defaultWaitTimeout is the objective for the time until a change is in force on every instance, at the fleet size
	// expected in two years.
	defaultWaitTimeout = 12 * time.Second
	waitPollInterval   = 100 * time.Millisecond
)

// NotInForceError reports a change that was accepted, but before the timeout was not in force on every listed instance
// that is not leaving.
type NotInForceError struct {
	Timeout time.Duration
	// Missing lists the IDs of the instances that had not reported the published revisions. If the list of instances
	// was never read, its only entry says so.
	Missing []string
}

func (e *NotInForceError) Error() string {
	return fmt.Sprintf("accepted, but not in force within %s on: %s", e.Timeout, strings.Join(e.Missing, ", "))
}

// waitOptions holds the flags of commands that can wait for a change to be in force.
type waitOptions struct {
	wait    bool
	timeout time.Duration
}

func (o *waitOptions) setFlags(f *flag.FlagSet) {
	f.BoolVar(&o.wait, "wait", false, "wait until each listed instance reports the revision in force")
	f.DurationVar(&o.timeout, "timeout", defaultWaitTimeout, "how long to wait")
}

// waitInForce waits until all instances of the list that are not leaving have the published revisions in force. It
// returns a *NotInForceError after the timeout.
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

// instancesWithoutRevisions returns the IDs of the instances that are not leaving and do not have all published
// revisions in force.
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
