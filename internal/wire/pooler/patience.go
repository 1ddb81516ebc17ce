package pooler

import (
	"context"
	"sync"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// A patience bounds the wait for a peer. A process that waits for the processor runs its timers before it
// sees what has arrived, so that a timeout alone says nothing of the peer: it counts only while the kernel
// has nothing from the peer either. A nil patience has no limit.
type patience struct {
	cancel context.CancelCauseFunc
	limit  time.Duration

	mu         sync.Mutex
	extensions int // further times that it may last for limit
	events     int16
	socket     syscall.RawConn // nil while there is none
	timer      *time.Timer
}

// maxExtensions bounds how often a wait is extended for a peer that has sent something, as the rest of it
// may not come.
const maxExtensions = 8

// withPatience returns a context that ends once the peer has sent nothing for limit, with the cause
// context.DeadlineExceeded, or upon stop. Zero means no limit: the context is ctx.
func withPatience(ctx context.Context, limit time.Duration) (bounded context.Context, p *patience) {
	if limit <= 0 {
		return ctx, nil
	}
	bounded, cancel := context.WithCancelCause(ctx)
	p = &patience{cancel: cancel, limit: limit, extensions: maxExtensions}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.timer = time.AfterFunc(limit, p.check)
	return bounded, p
}

// awaitConnected makes the wait be for a connection to be established.
func (p *patience) awaitConnected(socket syscall.RawConn) { p.await(socket, unix.POLLOUT) }

// awaitInput makes the wait be for something to be received.
func (p *patience) awaitInput(c *conn) {
	if p == nil {
		return
	}
	if s, ok := c.Conn.(syscall.Conn); ok {
		if socket, err := s.SyscallConn(); err == nil {
			p.await(socket, unix.POLLIN)
		}
	}
}

func (p *patience) await(socket syscall.RawConn, events int16) {
	if p == nil {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.socket, p.events = socket, events
}

// check ends the wait, unless the peer has answered and the process has not seen it yet.
func (p *patience) check() {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.extensions > 0 && isReady(p.socket, p.events) {
		p.extensions--
		p.timer.Reset(p.limit)
		return
	}
	p.cancel(context.DeadlineExceeded)
}

// stop ends the wait.
func (p *patience) stop() {
	if p == nil {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.extensions = 0
	p.timer.Stop()
	p.cancel(context.Canceled)
}

// isReady reports whether the kernel has any of the events for a socket, or its end.
func isReady(socket syscall.RawConn, events int16) bool {
	if socket == nil {
		return false
	}
	ready := false
	err := socket.Control(func(fd uintptr) {
		n, err := unix.Poll([]unix.PollFd{{Fd: int32(fd), Events: events}}, 0)
		ready = err == nil && n > 0
	})
	return err == nil && ready
}
