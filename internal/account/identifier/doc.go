// Package identifier identifies the client account of a caller by its API key.
//
// It stores hashes of keys only, so that neither log lines nor dumps of the configuration
// can expose a key.
package identifier
