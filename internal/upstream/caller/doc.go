// Package caller speaks to upstreams: it sends requests to model engines and
// plain services and orders to engines, and says of each what was observed.
package caller
