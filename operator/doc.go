// Package operator lets operators declare routing intent in Go and print it as
// TOML. The printed file is checked and published with the basillink client.
//
// The package has no global state. Values are not safe for concurrent
// modification.
package operator
