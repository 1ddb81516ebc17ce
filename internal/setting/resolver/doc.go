// Package resolver looks up what applies to a caller: the account of an API key,
// the service that runs an adapter, and the value of each setting after
// inheritance, with the level that set it.
package resolver
