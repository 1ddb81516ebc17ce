// Package driver operates the runners that this instance owns: it executes the
// decisions about their adapter slots and queues on the engines.
//
// A Driver has one orderer.Runner for each engine of the failure domain and acts
// on those that the roster assigns to this instance. State changes only under
// one lock, which is held briefly; orders, reports and requests run outside it.
package driver
