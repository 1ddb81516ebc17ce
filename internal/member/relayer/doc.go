// Package relayer carries messages between instances: WebSocket connections
// with CBOR frames.
//
// Each instance dials one link to each peer that it talks to. Many
// conversations share a link; each is opened with one message and answered with
// numbered ones, the last an End or a Fail. The receiver grants the sender how
// many it may send, so that one slow caller holds only its own conversation
// up. When a link fails every conversation on it ends with an error that does
// not promise anything.
package relayer
