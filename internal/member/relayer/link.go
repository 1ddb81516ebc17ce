package relayer

import (
	"errors"
	"sync"
	"sync/atomic"
	"time"

	"github.com/fasthttp/websocket"
)

// A link is one WebSocket connection. Frames are written by one goroutine from a
// bounded queue, so that a stalled peer does not block the senders.
type link struct {
	conn         *websocket.Conn
	queue        chan queuedFrame
	writtenBytes *atomic.Int64 // over all links of the mesh

	close      sync.Once
	closed     chan struct{}
	writerDone chan struct{} // closed when the writer has returned
}

// A queuedFrame is an encoded frame that waits to be written.
type queuedFrame struct {
	data    []byte
	written chan<- struct{} // closed when the connection has taken the frame; nil if nobody waits for it
}

const (
	queueCapacity = 1024             // frames
	writeTimeout  = 5 * time.Second  // after which the link to a peer that reads nothing is closed
	readTimeout   = 30 * time.Second // on links that peers dialed, which carry heartbeats
	frameLimit    = 16 << 20         // bytes
)

var (
	errClosed    = errors.New("the link is closed")
	errQueueFull = errors.New("the peer takes nothing")
)

func newLink(conn *websocket.Conn, sent *atomic.Int64) *link {
	conn.SetReadLimit(frameLimit)
	l := &link{conn: conn, queue: make(chan queuedFrame, queueCapacity), writtenBytes: sent, closed: make(chan struct{}), writerDone: make(chan struct{})}
	go l.write()
	return l
}

// extendReadDeadline limits the wait for the next frame.
func (l *link) extendReadDeadline(timeout time.Duration) {
	_ = l.conn.SetReadDeadline(time.Now().Add(timeout)) // fails only on a closed connection
}

// read returns the next frame.
func (l *link) read() (frame, Message, error) {
	_, data, err := l.conn.ReadMessage()
	if err != nil {
		return frame{}, nil, err
	}
	return decodeFrame(data)
}

// send queues a message. After an error it is certain that it was not sent.
func (l *link) send(conversation uint64, number uint32, m Message) error {
	return l.enqueue(conversation, number, m, nil)
}

// sendAndWait sends a message and waits until the connection has taken it.
func (l *link) sendAndWait(conversation uint64, number uint32, m Message) error {
	written := make(chan struct{})
	if err := l.enqueue(conversation, number, m, written); err != nil {
		return err
	}
	select {
	case <-written:
		return nil
	case <-l.closed:
		return errClosed
	}
}

func (l *link) enqueue(conversation uint64, number uint32, m Message, written chan<- struct{}) error {
	data, err := encodeFrame(conversation, number, m)
	if err != nil {
		return err
	}
	select {
	case <-l.closed:
		return errClosed
	default:
	}
	select {
	case l.queue <- queuedFrame{data, written}:
		return nil
	default:
		l.shutdown()
		return errQueueFull
	}
}

func (l *link) shutdown() {
	l.close.Do(func() {
		close(l.closed)
		_ = l.conn.Close()
	})
}

// closeAndWait closes the link and waits until its writer has returned. This is
// required before the connection is returned to the library, which reuses its buffers
// for the next connection: two concurrent writers to one buffer crash the process.
func (l *link) closeAndWait() {
	l.shutdown()
	<-l.writerDone
}

func (l *link) write() {
	defer close(l.writerDone)
	defer l.shutdown()
	for {
		select {
		case <-l.closed:
			return
		case f := <-l.queue:
			_ = l.conn.SetWriteDeadline(time.Now().Add(writeTimeout)) // fails only on a closed connection
			if l.conn.WriteMessage(websocket.BinaryMessage, f.data) != nil {
				return
			}
			l.writtenBytes.Add(int64(len(f.data)))
			if f.written != nil {
				close(f.written)
			}
		}
	}
}
