package pooler_test

import (
	"bytes"
	"net"
	"net/http"
	"testing"
	"time"
)

// Guards against a peer that sends bytes without end after a whole response: the idle connection takes them in
// for as long as it is kept, or the next request on it reads them or is lost by them.
func TestIdleConnectionOnWhichSomethingArrivesIsClosed(t *testing.T) {
	ended := make(chan struct{})
	address, _ := startServer(t, func(c net.Conn, _ int, r *http.Request) bool {
		id := r.Header.Get("Id")
		writeResponse(c, id, "own")
		if id != "first" {
			return true
		}
		time.Sleep(50 * time.Millisecond) // until the connection is idle
		for garbage := bytes.Repeat([]byte("HTTP/1.1 200 OK\r\nId: second\r\nContent-Length: 0\r\n\r\n"), 1000); ; {
			if _, err := c.Write(garbage); err != nil {
				close(ended)
				return false
			}
		}
	})
	p := newPool()
	if got, observation := send(t, p, newCall(address, "first")); got != "own" || observation != nil {
		t.Fatalf("got %q, %v", got, observation)
	}
	for end := time.Now().Add(10 * time.Second); p.Open() > 0; time.Sleep(10 * time.Millisecond) {
		if time.Now().After(end) {
			t.Fatal("the connection is still open after 10 s")
		}
		p.CloseUnusable(time.Now())
	}
	<-ended
	if got, observation := send(t, p, newCall(address, "second")); got != "own" || observation != nil {
		t.Errorf("got %q, %v", got, observation)
	}
	p.CloseUnusable(time.Now())
	if p.Open() != 1 {
		t.Errorf("%d connections, want the idle one", p.Open())
	}
}

// Guards against a request that is lost because the peer has sent bytes, or closed, while its connection was idle.
func TestRequestIsNotLostByBytesOnAnIdleConnection(t *testing.T) {
	for name, afterwards := range map[string]func(c net.Conn) bool{
		"bytes":   func(c net.Conn) bool { _, err := c.Write([]byte("\x00\r\n")); return err == nil },
		"refusal": func(c net.Conn) bool { writeResponse(c, "second", "refused"); return true },
		"close":   func(net.Conn) bool { return false },
	} {
		t.Run(name, func(t *testing.T) {
			address, _ := startServer(t, func(c net.Conn, _ int, r *http.Request) bool {
				writeResponse(c, r.Header.Get("Id"), "own")
				return afterwards(c)
			})
			p := newPool()
			for _, id := range []string{"first", "second", "third"} {
				if got, observation := send(t, p, newCall(address, id)); got != "own" || observation != nil {
					t.Errorf("%s: got %q, %v", id, got, observation)
				}
				time.Sleep(20 * time.Millisecond) // let the bytes arrive
			}
		})
	}
}
