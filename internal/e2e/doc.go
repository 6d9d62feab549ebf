// Package e2e tests whole sessions, in one process and as separate processes.
package e2e
