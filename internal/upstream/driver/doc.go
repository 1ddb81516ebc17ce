// Package driver owns runners: it carries out, on real engines, what the
// decisions about one runner's slots and queue ask for.
//
// A Driver holds one orderer.Runner for each engine of the failure domain and
// acts on those that the roster gives to this instance. Every change of state
// happens under one lock and returns quickly; orders, reports and requests run
// outside of it.
package driver
