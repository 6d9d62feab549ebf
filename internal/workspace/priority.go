package workspace

import "github.com/basillink/basillink/internal/routes"

const (
	// maxRoutePriority is the lowest rank of a route that is told apart among the requests of one workspace.
	maxRoutePriority = 999
	// maxPriority bounds the rank of a workspace, and of a route for callers that need no key, so that products do not overflow.
	maxPriority = 1 << 50
)

// Priority combines the priorities of a caller's workspace and of a route. The workspace takes precedence. The priority of the
// route stands in for that of the workspace if the caller needed no key.
func Priority(c Caller, route *routes.Route) int {
	first := route.Priority
	if c.Workspace != nil {
		first = c.Workspace.Priority
	}
	first = min(max(first, -maxPriority), maxPriority)
	return first*(maxRoutePriority+1) + min(max(route.Priority, 0), maxRoutePriority)
}
