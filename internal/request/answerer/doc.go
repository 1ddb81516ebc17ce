// Package answerer is the HTTP API for callers: an OpenAI-compatible API for
// model engines and a path for plain services.
//
// It parses a request, refuses malformed ones, claims the key of a request that
// must not run twice, dispatches the request, and writes the response: as one
// body, or as server-sent events that end with [DONE] if the response is
// complete and with an error event otherwise.
package answerer
