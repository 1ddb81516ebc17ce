package pooler

import (
	"net"
	"syscall"
	"testing"
	"time"
)

// tcpSettings are the options of a connection that decide when it is dropped.
type tcpSettings struct{ user, idle, interval time.Duration }

// settingsOf reads the options of a connection that a pool has established.
func settingsOf(t *testing.T) tcpSettings {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = l.Close() }()
	c, err := (&Pool{DialTimeout: time.Second}).dial(t.Context(), l.Addr().String(), nil)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = c.Close() }()
	raw, err := c.Conn.(*net.TCPConn).SyscallConn()
	if err != nil {
		t.Fatal(err)
	}
	option := func(name int, unit time.Duration) time.Duration {
		value, optErr := 0, error(nil)
		err := raw.Control(func(fd uintptr) { value, optErr = syscall.GetsockoptInt(int(fd), syscall.IPPROTO_TCP, name) })
		if err != nil || optErr != nil {
			t.Fatal(err, optErr)
		}
		return time.Duration(value) * unit
	}
	return tcpSettings{
		user: option(tcpUserTimeout, time.Millisecond),
		idle: option(syscall.TCP_KEEPIDLE, time.Second), interval: option(syscall.TCP_KEEPINTVL, time.Second),
	}
}

// A window is a silence of a peer: it receives and sends nothing from its begin to its end.
type window struct{ begin, end time.Duration }

func (w window) contains(at time.Duration) bool { return at >= w.begin && at <= w.end }

// droppedIdle returns when Linux drops a connection without unacknowledged data, relative to the
// last segment received before a silence (tcp_keepalive_timer). ok is false if a probe is answered
// after the silence.
func (s tcpSettings) droppedIdle(w window) (at time.Duration, ok bool) {
	last, unanswered := time.Duration(0), 0
	for now := s.idle; ; now += s.interval {
		switch {
		case unanswered > 0 && now-last >= s.user:
			return now, true
		case w.contains(now):
			unanswered++
		case now > w.end:
			return 0, false
		default:
			last, unanswered = now, 0
			now += s.idle - s.interval // the answer starts over
		}
	}
}

// droppedWaiting returns when Linux drops a connection with unacknowledged data, relative to the
// time when that was sent (tcp_retransmit_timer), given the initial retransmission time-out. The user
// timeout counts from the first retransmission, and no retransmission takes place when it has passed.
func (s tcpSettings) droppedWaiting(w window, rto time.Duration) (at time.Duration, ok bool) {
	if !w.contains(0) {
		return 0, false
	}
	end := rto + s.user
	for now, wait := rto, 2*rto; now < end; now, wait = now+wait, 2*wait {
		if !w.contains(now) {
			return 0, false
		}
	}
	return end, true
}

// Guards against connections with requests on them that are dropped although their peer is only
// silent for 2 s, whenever that begins, and against peers that are gone and not noticed for long.
func TestSilentPeerKeepsItsConnection(t *testing.T) {
	const (
		silence = 2 * time.Second
		noticed = 6 * time.Second
		step    = 10 * time.Millisecond
		forever = time.Hour
	)
	s := settingsOf(t)
	for begin := time.Duration(0); begin <= 10*time.Second; begin += step {
		if at, ok := s.droppedIdle(window{begin, begin + silence}); ok {
			t.Fatalf("%+v: dropped %s after the last segment, for a silence that began after %s", s, at, begin)
		}
		if at, ok := s.droppedIdle(window{begin, forever}); !ok || at-begin > noticed {
			t.Fatalf("%+v: a peer that is gone after %s is noticed %s later (%t)", s, begin, at-begin, ok)
		}
	}
	// The initial time-out is 0.2 s and the round trip at least; its variance adds to it.
	for rto := 200 * time.Millisecond; rto <= 800*time.Millisecond; rto += step {
		for before := time.Duration(0); before <= silence; before += step {
			if at, ok := s.droppedWaiting(window{-before, silence - before}, rto); ok {
				t.Fatalf("%+v: dropped %s after data was sent, %s into the silence, with a time-out of %s", s, at, before, rto)
			}
		}
		if at, ok := s.droppedWaiting(window{0, forever}, rto); !ok || at > noticed {
			t.Fatalf("%+v: a peer that is gone is noticed %s after data was sent (%t)", s, at, ok)
		}
	}
}

// Guards against a model of the kernel that drops nothing: with the settings of 2 s that were in use, a
// silence of 1.5 s ended a connection, as did the loss of one probe.
func TestModelOfSilenceDropsConnections(t *testing.T) {
	s := tcpSettings{user: 2 * time.Second, idle: 2 * time.Second, interval: time.Second}
	if at, ok := s.droppedIdle(window{1990 * time.Millisecond, 2010 * time.Millisecond}); !ok || at != 3*time.Second {
		t.Errorf("dropped after %s (%t), want 3s", at, ok)
	}
	if at, ok := s.droppedWaiting(window{0, 1500 * time.Millisecond}, 200*time.Millisecond); !ok || at != 2200*time.Millisecond {
		t.Errorf("dropped after %s (%t), want 2.2s", at, ok)
	}
}
