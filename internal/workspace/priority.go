package workspace

import "github.com/basillink/basillink/internal/routes"

// maxPriority is the lowest rank of a workspace or a route that is told apart.
const maxPriority = 999

// Priority combines the priorities of a caller's workspace and of a route. The workspace takes precedence. The priority of the
// route stands in for that of the workspace if the caller needed no key.
func Priority(c Caller, route *routes.Route) int {
	first := route.Priority
	if c.Workspace != nil {
		first = c.Workspace.Priority
	}
	return clamp(first)*(maxPriority+1) + clamp(route.Priority)
}

func clamp(priority int) int { return min(max(priority, 0), maxPriority) }
