package pooler

import (
	"context"
	"errors"
	"net"
	"syscall"
	"testing"
	"time"
)

// newSocketPair returns both ends of a connection.
func newSocketPair(t *testing.T) (near, far net.Conn) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = l.Close() }()
	if near, err = net.Dial("tcp", l.Addr().String()); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = near.Close() })
	if far, err = l.Accept(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = far.Close() })
	return near, far
}

// Guards against peers that are taken for silent, as this process runs its timers before it sees what the
// kernel has received from them.
func TestPeerThatHasAnsweredIsNotTakenForSilent(t *testing.T) {
	const limit = time.Millisecond
	near, far := newSocketPair(t)
	raw, err := near.(syscall.Conn).SyscallConn()
	if err != nil {
		t.Fatal(err)
	}
	for _, tc := range []struct {
		name  string
		await func(p *patience)
		ends  bool
	}{
		{"no connection yet", func(*patience) {}, true},
		{"connection established", func(p *patience) { p.awaitConnected(raw) }, false},
		{"nothing received", func(p *patience) { p.awaitInput(&conn{Conn: near}) }, true},
		{"received and not read", func(p *patience) {
			p.awaitInput(&conn{Conn: near})
			if _, err := far.Write([]byte("x")); err != nil {
				t.Fatal(err)
			}
			for !isReady(raw, p.events) {
				time.Sleep(limit)
			}
		}, false},
	} {
		t.Run(tc.name, func(t *testing.T) {
			ctx, p := withPatience(t.Context(), time.Hour) // check is called below
			defer p.stop()
			tc.await(p)
			p.check()
			if ended := errors.Is(context.Cause(ctx), context.DeadlineExceeded); ended != tc.ends {
				t.Errorf("ended %v, want %v", ended, tc.ends)
			}
		})
	}
}

// Guards against calls that never end, as the peer sends a part of its response and no more.
func TestWaitForTheRestOfAResponseIsBounded(t *testing.T) {
	near, far := newSocketPair(t)
	if _, err := far.Write([]byte("x")); err != nil {
		t.Fatal(err)
	}
	ctx, p := withPatience(t.Context(), time.Millisecond)
	defer p.stop()
	p.awaitInput(&conn{Conn: near})
	select {
	case <-ctx.Done():
	case <-time.After(20 * time.Second):
		t.Error("the wait does not end")
	}
}

// Guards against a process that never has a connection, as each is given up with the caller that it was
// dialed for.
func TestConnectionOutlivesTheCallerThatItWasDialedFor(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = l.Close() }()
	p := &Pool{DialTimeout: time.Second, IdleTimeout: time.Minute}
	call := Call{Address: l.Addr().String(), PeerKey: "i-1"}
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	const callers = 5
	for range callers {
		if _, observation := p.Do(ctx, call); observation == nil {
			t.Fatal("a cancelled request was sent")
		}
	}
	for end := time.Now().Add(20 * time.Second); p.Dialed() < callers; time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("%d of %d connections were completed", p.Dialed(), callers)
		}
	}
	time.Sleep(10 * time.Millisecond) // for the last of them to be kept or closed
	p.mu.Lock()
	defer p.mu.Unlock()
	if n := len(p.idle[call.PeerKey]); n != 1 {
		t.Errorf("%d connections are kept, want one", n)
	}
}
