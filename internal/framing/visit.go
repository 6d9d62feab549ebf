package framing

import (
	"bytes"
	"net/textproto"
	"strings"
)

// Visit calls f with the name and value of each header line, as received. The lines must have been accepted by Check.
func Visit(lines []byte, f func(name, value []byte)) {
	for len(lines) > 0 {
		line, rest, _ := bytes.Cut(lines, []byte{'\n'})
		name, value, found := bytes.Cut(bytes.TrimSuffix(line, []byte{'\r'}), []byte{':'})
		if !found {
			return
		}
		f(name, bytes.Trim(value, " \t"))
		lines = rest
	}
}

// ConnectionOptions returns the options of the Connection headers in canonical form. Options other than "Close" and
// "Keep-Alive" are names of hop-by-hop headers.
func ConnectionOptions(lines []byte) []string {
	var options []string
	Visit(lines, func(name, value []byte) {
		if !equalFold(name, "connection") {
			return
		}
		for option := range strings.SplitSeq(string(value), ",") {
			if option = strings.TrimSpace(option); option != "" {
				options = append(options, textproto.CanonicalMIMEHeaderKey(option))
			}
		}
	})
	return options
}
