package gatekeeper

import (
	"bufio"
	"fmt"
	"net/http"
	"testing"
	"time"

	"github.com/sardinetiller/sardinetiller/internal/request/shedder"
	"github.com/sardinetiller/sardinetiller/internal/wire/listener"
	"github.com/sardinetiller/sardinetiller/internal/wire/pooler"
)

// Guards against an instance that takes requests on while its link is full of their bodies on the way to runners.
func TestBytesToRunnersCountForTheLink(t *testing.T) {
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
			fmt.Fprint(c, "HTTP/1.1 204 No Content\r\n\r\n")
		}
	}()
	g := newTestGatekeeper()
	g.callers = &listener.Server{Listener: l}
	g.Pool = &pooler.Pool{DialTimeout: time.Second}
	g.Config.Link = 1
	r := resources{link: shedder.LinkQueue{Bandwidth: g.Config.Link.BytesPerSecond()}}
	before := g.readResources(&r, time.Now())
	body := make([]byte, 1<<17)
	message := append(fmt.Appendf(nil, "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: %d\r\n\r\n", len(body)), body...)
	if _, failed := g.Pool.Do(t.Context(), pooler.Call{Address: l.Addr().String(), PeerKey: "a", Message: message}); failed != nil {
		t.Fatal(failed)
	}
	after := g.readResources(&r, time.Now())
	if before.Link != 0 || after.Short() != shedder.Link {
		t.Errorf("bytes wait for %s before and %s after the request", before.Link, after.Link)
	}
}
