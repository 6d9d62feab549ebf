// Package load is an open-loop load generator. Requests are due at times that do
// not depend on answers, and latency counts from the due time, so that a slow
// server does not hide its slowness by slowing the generator down (coordinated
// omission).
//
// Every request is accounted for: sent = answered + refused + failed. No request
// is ever sent twice by the generator, except after a 428 answer, which proves
// that the request was not run and brings the ticket to send it with.
package load
