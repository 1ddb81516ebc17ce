// Package caller is the client of upstreams: it sends requests to model engines and
// plain services, and orders to engines, and reports the outcome of each.
package caller
