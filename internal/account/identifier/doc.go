// Package identifier tells which client account a caller belongs to, by its key.
//
// It keeps hashes of keys and no key, so that no log line and no dump of what is in
// force can show one.
package identifier
