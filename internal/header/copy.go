package header

import "github.com/cloudwego/hertz/pkg/protocol"

// AddToRequest adds a header to a request. The key must be in canonical form. Hertz stores some headers in dedicated
// fields, which need their own setters.
func AddToRequest(h *protocol.RequestHeader, key, value []byte) {
	switch string(key) {
	case "Content-Type":
		h.SetContentTypeBytes(value)
	case "User-Agent":
		h.SetUserAgentBytes(value)
	default:
		h.AddArgBytes(key, value, protocol.ArgsHasValue)
	}
}

// AddToResponse adds a header to a response. The key must be in canonical form. Hertz stores some headers in dedicated
// fields, which need their own setters.
func AddToResponse(h *protocol.ResponseHeader, key, value []byte) {
	switch string(key) {
	case "Content-Type":
		h.SetContentTypeBytes(value)
	case "Content-Encoding":
		h.SetContentEncodingBytes(value)
	case "Server":
		h.SetServerBytes(value)
	default:
		h.AddArgBytes(key, value, protocol.ArgsHasValue)
	}
}
