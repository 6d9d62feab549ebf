package client

import (
	"context"
	"slices"
	"sync"

	"github.com/basillink/basillink/internal/admin"
	"github.com/basillink/basillink/internal/logservice"
)

// InstanceStatus is the status of one instance. Status is nil and Error is set if the status could not be read.
type InstanceStatus struct {
	Listed logservice.ListedInstance `json:"listed"`
	Status *admin.Status             `json:"status,omitempty"`
	Error  string                    `json:"error,omitempty"`
}

// FleetStatus returns the status of each listed instance in the order of the list. Entries with a target address are
// targets and are skipped. It returns an error only if the list cannot be read.
func FleetStatus(ctx context.Context, list logservice.InstanceList) ([]InstanceStatus, error) {
	instances, err := list.Instances(ctx)
	if err != nil {
		return nil, err
	}
	instances = slices.DeleteFunc(instances, func(l logservice.ListedInstance) bool { return l.TargetAddress != "" })
	return fetchAllStatuses(ctx, instances), nil
}

// fetchAllStatuses asks all instances in parallel and returns their status in the given order.
func fetchAllStatuses(ctx context.Context, instances []logservice.ListedInstance) []InstanceStatus {
	result := make([]InstanceStatus, len(instances))
	var group sync.WaitGroup
	for i, listed := range instances {
		group.Go(func() { result[i] = fetchStatus(ctx, listed) })
	}
	group.Wait()
	return result
}

func fetchStatus(ctx context.Context, listed logservice.ListedInstance) InstanceStatus {
	status, err := Status(ctx, listed.AdminAddress)
	if err != nil {
		return InstanceStatus{Listed: listed, Error: err.Error()}
	}
	return InstanceStatus{Listed: listed, Status: status}
}

// Status returns the status of the instance whose admin listener is at address.
func Status(ctx context.Context, address string) (*admin.Status, error) {
	var status admin.Status
	if err := getAdminJSON(ctx, address, "/status", &status); err != nil {
		return nil, err
	}
	return &status, nil
}
