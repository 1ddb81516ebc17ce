package gatekeeper

import (
	"bufio"
	"fmt"
	"io"
	"net/http"
	"testing"
	"time"

	"github.com/sardinetiller/sardinetiller/internal/request/shedder"
	"github.com/sardinetiller/sardinetiller/internal/wire/listener"
	"github.com/sardinetiller/sardinetiller/internal/wire/pooler"
)

// Guards against an instance that takes requests on while its link is full of their bodies on the way to runners, or of the
// responses of runners.
func TestBytesOfRunnersCountForTheLink(t *testing.T) {
	const size = 1 << 17
	l, err := listener.ListenLoopback()
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = l.Close() }()
	go func() {
		c, err := l.Accept()
		if err != nil {
			return
		}
		defer func() { _ = c.Close() }()
		if r, err := http.ReadRequest(bufio.NewReader(c)); err == nil {
			_ = r.Body.Close()
			fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", size, make([]byte, size))
		}
	}()
	g := newTestGatekeeper()
	g.callers = &listener.Server{Listener: l}
	g.Pool = &pooler.Pool{DialTimeout: time.Second}
	g.Config.Link = 1
	bandwidth := g.Config.Link.BytesPerSecond()
	r := resources{link: shedder.LinkQueue{Bandwidth: bandwidth}, linkUse: shedder.LinkUse{Bandwidth: bandwidth}}
	start := time.Now()
	before := g.readResources(&r, start)
	message := fmt.Appendf(nil, "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: %d\r\n\r\n%s", size, make([]byte, size))
	response, failed := g.Pool.Do(t.Context(), pooler.Call{Address: l.Addr().String(), PeerKey: "a", Message: message})
	if failed != nil {
		t.Fatal(failed)
	}
	if _, err := io.Copy(io.Discard, response.Body); err != nil {
		t.Fatal(err)
	}
	after := g.readResources(&r, start.Add(readingInterval))
	if before.Link != 0 || (shedder.Reading{Link: after.Link}).Short() != shedder.Link {
		t.Errorf("bytes wait for %s before and %s after the request", before.Link, after.Link)
	}
	if before.LinkUse != 0 || (shedder.Reading{LinkUse: after.LinkUse}).Short() != shedder.Link {
		t.Errorf("%g of the link is used before and %g after the response", before.LinkUse, after.LinkUse)
	}
}
