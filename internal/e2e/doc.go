// Package e2e holds end-to-end tests. They run instances, targets and a stand-in platform, in one process or as separate
// processes, and check what callers and operators observe.
package e2e
