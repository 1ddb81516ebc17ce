package relayer

import (
	"errors"
	"sync"
	"sync/atomic"
	"time"

	"github.com/fasthttp/websocket"
)

// A link is one WebSocket connection. Frames are written by one goroutine from
// a bounded queue, so that a peer that stands still blocks nobody who speaks.
type link struct {
	conn *websocket.Conn
	out  chan []byte
	sent *atomic.Int64 // bytes, for the control budget

	close  sync.Once
	closed chan struct{}
	ended  chan struct{} // closed when nothing is written any more
}

const (
	outgoing     = 1024             // frames that may wait for a slow peer
	writeTimeout = 5 * time.Second  // after which a peer that takes nothing is given up
	readTimeout  = 30 * time.Second // on links that peers dialled, where heartbeats come
	frameLimit   = 16 << 20         // bytes
)

var (
	errClosed = errors.New("the link is closed")
	errFull   = errors.New("the peer takes nothing")
)

func newLink(conn *websocket.Conn, sent *atomic.Int64) *link {
	conn.SetReadLimit(frameLimit)
	l := &link{conn: conn, out: make(chan []byte, outgoing), sent: sent, closed: make(chan struct{}), ended: make(chan struct{})}
	go l.write()
	return l
}

// expect bounds the wait for the next frame.
func (l *link) expect() {
	_ = l.conn.SetReadDeadline(time.Now().Add(readTimeout)) // fails only on a closed connection
}

// read returns the next frame.
func (l *link) read() (frame, Message, error) {
	_, data, err := l.conn.ReadMessage()
	if err != nil {
		return frame{}, nil, err
	}
	return decodeFrame(data)
}

// send queues a message. An error means that it was not sent.
func (l *link) send(conversation uint64, number uint32, m Message) error {
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
	case l.out <- data:
		return nil
	default:
		l.shut()
		return errFull
	}
}

func (l *link) shut() {
	l.close.Do(func() {
		close(l.closed)
		_ = l.conn.Close()
	})
}

// end shuts the link and waits until nothing is written to it any more. Whoever
// gives the connection back to the library has to: it hands its buffers to the
// next connection, and two that write into the same one end the process.
func (l *link) end() {
	l.shut()
	<-l.ended
}

func (l *link) write() {
	defer close(l.ended)
	defer l.shut()
	for {
		select {
		case <-l.closed:
			return
		case data := <-l.out:
			_ = l.conn.SetWriteDeadline(time.Now().Add(writeTimeout)) // fails only on a closed connection
			if l.conn.WriteMessage(websocket.BinaryMessage, data) != nil {
				return
			}
			l.sent.Add(int64(len(data)))
		}
	}
}
