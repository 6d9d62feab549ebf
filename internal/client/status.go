package client

import (
	"context"
	"encoding/json"
	"slices"
	"time"

	"github.com/cloudwego/hertz/pkg/protocol"

	"github.com/basillink/basillink/internal/admin"
	"github.com/basillink/basillink/internal/platform"
	"github.com/basillink/basillink/internal/transport"
)

const (
	statusTimeout  = 2 * time.Second
	maxStatusBytes = 4 << 20
)

// InstanceStatus is the status of one listed instance.
type InstanceStatus struct {
	Listed platform.ListedInstance `json:"listed"`
	Status *admin.Status           `json:"status,omitempty"`
	Error  string                  `json:"error,omitempty"`
}

// FleetStatus asks the admin listener of each listed instance.
func FleetStatus(ctx context.Context, list platform.InstanceList) ([]InstanceStatus, error) {
	instances, err := list.Instances(ctx)
	if err != nil {
		return nil, err
	}
	instances = slices.DeleteFunc(instances, func(l platform.ListedInstance) bool { return l.TargetAddress != "" })
	result := make([]InstanceStatus, len(instances))
	done := make(chan int)
	for i, listed := range instances {
		go func() {
			result[i] = askStatus(ctx, listed)
			done <- i
		}()
	}
	for range instances {
		<-done
	}
	return result, nil
}

func askStatus(ctx context.Context, listed platform.ListedInstance) InstanceStatus {
	status, err := Status(ctx, listed.AdminAddress)
	if err != nil {
		return InstanceStatus{Listed: listed, Error: err.Error()}
	}
	return InstanceStatus{Listed: listed, Status: status}
}

// Status asks the admin listener at an address.
func Status(ctx context.Context, address string) (*admin.Status, error) {
	ctx, cancel := context.WithTimeout(ctx, statusTimeout)
	defer cancel()
	pool := transport.NewPool(address, 1)
	defer pool.CloseIdle()
	request, answer := protocol.AcquireRequest(), protocol.AcquireResponse()
	defer protocol.ReleaseRequest(request)
	defer protocol.ReleaseResponse(answer)
	request.SetRequestURI("http://" + address + "/status")
	if err := pool.Exchange(ctx, request, answer, maxStatusBytes); err != nil {
		return nil, err
	}
	var status admin.Status
	if err := json.Unmarshal(answer.Body(), &status); err != nil {
		return nil, err
	}
	return &status, nil
}
