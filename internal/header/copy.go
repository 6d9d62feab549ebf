package header

import "github.com/cloudwego/hertz/pkg/protocol"

// AddToRequest adds a header with a canonical name to a request. The library keeps some headers apart from the others.
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

// AddToResponse adds a header with a canonical name to an answer. The library keeps some headers apart from the others.
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
