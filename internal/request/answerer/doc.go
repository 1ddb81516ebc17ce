// Package answerer is the callers' door: an OpenAI-compatible HTTP API for
// model engines and a path for plain services.
//
// It reads a request, refuses what is malformed with one clear error, claims
// the key of a request that must not run twice, has it dispatched, and writes
// the answer: whole, or as server-sent events that end in [DONE] only if the
// answer is whole and in an error event otherwise.
package answerer
