// Package resumer remembers at which software version of their runners streams began, so that they
// go on at that version wherever their callers take them up.
//
// The instance that began a stream sends a record of it to a few others, its holders. Which ones
// follows from the key of the stream alone, so that any instance finds them without knowing which
// one began it.
package resumer
