// Package registrar stands in for the platform: its table service, object
// store, instance list and weight store, over HTTP on one address.
//
// Faults are set over the path /control, and /books tells what was done. The
// instance list is that of a moment ago, by the set lag; an instance drops off
// it when its process runs no more.
package registrar
