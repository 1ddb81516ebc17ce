// Package relayer carries messages between instances over WebSocket connections
// with CBOR frames.
//
// Each instance dials one link to each peer that it talks to. Many conversations
// share a link; each is opened with one message, and the response is a sequence of
// numbered messages that ends with an End, a Fail, or a message that is a complete
// response by itself. The initiator grants the peer credit for a number of messages,
// so that a slow caller blocks only its own conversation. When a link fails, every
// conversation on it ends with an error that leaves open whether the request has run.
package relayer
