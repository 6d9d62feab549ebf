package framing

import (
	"bytes"
	"net/textproto"
	"strings"
)

// Visit calls f with the name and value of each header line, as they are on the wire. The lines were accepted by Check.
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

// ConnectionOptions returns the options that the Connection headers list, in canonical form. Besides "Close" and
// "Keep-Alive" they are names of headers that concern one connection only.
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
