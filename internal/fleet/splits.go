package fleet

import "github.com/basillink/basillink/internal/routes"

// logSplits logs for each split of a table for how many requests this instance has chosen each of its services. The sums over all
// instances show whether the fleet kept the weights of a version; requests that were refused later are among them.
func (n *Node) logSplits(table *routes.Table) {
	if table == nil {
		return
	}
	for _, entry := range table.Splits() {
		services, weights := make([]string, len(entry.Split)), make([]int, len(entry.Split))
		for i, share := range entry.Split {
			services[i], weights[i] = share.Service, share.Weight
		}
		n.Log.Info("Requests of a split.", "route", entry.Name, "version", table.Version, "services", services, "weights", weights, "requests", entry.Choices())
	}
}
