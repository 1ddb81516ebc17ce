// Package counter counts the traffic of connections.
package counter

import "sync/atomic"

// packetHeader is the size of the headers of a packet in bytes: IP, and TCP with timestamps.
const packetHeader = 52

// A Traffic counts what is written to connections, or read from them. The zero value is ready; it is safe for concurrent use.
type Traffic struct{ bytes atomic.Int64 }

// Add counts a read or a write of n bytes, none if there were none.
func (t *Traffic) Add(n int) {
	if n > 0 {
		t.bytes.Add(int64(n) + packetHeader)
	}
}

// Bytes returns how many bytes were read or written so far, with the header of one packet each time.
func (t *Traffic) Bytes() int64 { return t.bytes.Load() }
