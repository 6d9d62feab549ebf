// Package operator is the library with which operators declare routing intent
// in Go and print it as TOML. The printed file is checked and published with
// the basillink client.
//
// The package holds plain data and pure functions; values are not safe for
// concurrent modification.
package operator
