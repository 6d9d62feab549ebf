// Package load is an open-loop load generator. Requests are due at times that do
// not depend on answers, and latency is measured from the due time. This avoids
// coordinated omission, in which a slow server delays later requests and so hides
// their latency.
//
// Every request is accounted for: sent = answered + refused + failed. The
// generator sends each request once. Only a 428 answer, which proves that the
// request was not run and contains a ticket, makes it send the request again with
// that ticket.
package load
