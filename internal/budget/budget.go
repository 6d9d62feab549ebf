// Package budget bounds what measuring the load of targets may cost.
package budget

// ProbeBytes is what one load probe is charged for: the request and the longest accepted answer.
const ProbeBytes = 400
