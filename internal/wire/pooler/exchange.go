package pooler

import (
	"context"
	"errors"
	"io"
	"strconv"
	"strings"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/sardinetiller/sardinetiller/internal/request/judge"
	"github.com/sardinetiller/sardinetiller/internal/wire/bodyreader"
	"github.com/sardinetiller/sardinetiller/internal/wire/responsereader"
)

// A Call is one request, encoded for the wire.
type Call struct {
	Address string // host:port
	PeerKey string // identifies the peer
	Message []byte // header and body
	NoBody  bool   // the response has no body whatever its header says, as for HEAD
	NewConn bool   // the request is sent on a new connection

	// Timeout ends the call if the peer sends nothing for so long, from the start of the call to the end of the
	// response. Zero for none.
	Timeout time.Duration

	ID string // the ID in the response to it; empty if that has none. Used with IDOf

	// OnConnected is called when there is a connection, before the request is written. Nil
	// for none.
	OnConnected func()

	// Withdrawn is asked right before the request is written, and reports whether nobody waits for the
	// response any more: the request is not sent then. Nil: it is asked of the context only.
	Withdrawn func() bool

	// IDOf returns the ID of the request that a response states, empty for none. Nil if the peer never sends
	// a response again, so that each is the response to the last request.
	IDOf func(header *fasthttp.ResponseHeader) string
}

// A Response is a response whose body may be a stream. It must be closed.
type Response struct {
	Status int
	Header *fasthttp.ResponseHeader
	Body   io.Reader

	pool   *Pool
	conn   *conn
	key    string
	detach func() bool
	wait   *patience
	closed bool
}

// ErrMismatched is returned if more responses on a connection name other
// requests than a peer sends by mistake.
var ErrMismatched = errors.New("the answers on the connection name other requests")

// errUnknownLength is returned if a response names another request and it is not
// known whether that was a HEAD, whose response has no body whatever its header says.
// Skipping it with the wrong length could make a part of a body look like a response.
var errUnknownLength = errors.New("an answer on the connection names another request, and its length is not known")

// maxMismatched is how many responses to other requests are skipped before the
// connection is closed. A peer that repeats a response sends one.
const maxMismatched = 2

// maxSkipped bounds the body of a response that is skipped, in bytes.
const maxSkipped = 16 << 20

// Do sends a request and reads the header of its response. The request is
// cancelled when ctx ends. If there is no response, the observation says how far
// the request got.
func (p *Pool) Do(ctx context.Context, call Call) (*Response, judge.Observation) {
	ctx, wait := withPatience(ctx, call.Timeout)
	response, observation := p.do(ctx, call, wait)
	if observation != nil {
		wait.stop()
	}
	return response, observation
}

func (p *Pool) do(ctx context.Context, call Call, wait *patience) (*Response, judge.Observation) {
	var c *conn
	if !call.NewConn {
		c = p.get(call, time.Now())
	}
	if c == nil {
		var err error
		if c, err = p.connect(ctx, call, wait); err != nil {
			return nil, judge.DialFailed{Err: err}
		}
	}
	if call.OnConnected != nil {
		call.OnConnected()
	}
	if ctx.Err() != nil || call.Withdrawn != nil && call.Withdrawn() {
		p.keep(call.PeerKey, c)
		return nil, judge.Withdrawn{}
	}
	wait.awaitInput(c)
	c.carry(call)
	detach := context.AfterFunc(ctx, c.abort)
	response, err := c.exchange(call)
	if err != nil {
		detach()
		_ = c.Close()
		return nil, responsereader.Observe(judge.Broken{Written: c.bytesWritten(), Err: err})
	}
	response.pool, response.conn, response.key, response.detach, response.wait = p, c, call.PeerKey, detach, wait
	return response, nil
}

// exchange writes a request and reads responses until one is that to it. As the
// connection has carried no other request with its ID, that is the first one
// with the same ID, or the first one without if it has none.
func (c *conn) exchange(call Call) (*Response, error) {
	if _, err := c.Write(call.Message); err != nil {
		return nil, err
	}
	for range maxMismatched + 1 {
		response, err := responsereader.Read(c.reader, call.NoBody)
		if err != nil {
			return nil, err
		}
		if call.IDOf == nil || call.IDOf(response.Header) == call.ID {
			return &Response{Status: response.Status, Header: response.Header, Body: response.Body}, nil
		}
		if c.carriedHead {
			return nil, errUnknownLength
		}
		if err := bodyreader.Discard(response.Body, maxSkipped); err != nil {
			return nil, err
		}
	}
	return nil, ErrMismatched
}

// BodyError returns the observation for a body that could not be read completely.
func (r *Response) BodyError(err error) judge.Observation {
	return responsereader.Observe(judge.Broken{Written: r.conn.bytesWritten(), Head: true, Err: err})
}

// Close returns the connection to the pool if the body was read completely and the
// connection may carry further requests. Otherwise it closes the connection, which
// cancels the work of the peer.
func (r *Response) Close(complete bool) {
	if r.closed {
		return
	}
	r.closed = true
	detached := r.detach()
	r.wait.stop()
	if !complete || !detached || !r.leavesConnUsable() {
		_ = r.conn.Close()
		return
	}
	if limit, ok := keepAliveTimeout(r.Header); ok {
		r.conn.idleTimeout = min(r.pool.IdleTimeout, limit)
	}
	r.pool.put(r.key, r.conn)
}

// leavesConnUsable reports whether the connection may carry further requests after
// the complete response.
func (r *Response) leavesConnUsable() bool {
	framed := r.Header.ContentLength() != lengthUntilClose
	return framed && !r.Header.ConnectionClose() && r.conn.reader.Buffered() == 0 && len(r.conn.carried) < maxCarried
}

// lengthUntilClose is the content length that fasthttp reports for a body that
// ends when the connection closes.
const lengthUntilClose = -2

// keepAliveTimeout returns the idle timeout from the Keep-Alive header, less a
// margin for the network delay: a request must not cross the peer's close.
func keepAliveTimeout(header *fasthttp.ResponseHeader) (time.Duration, bool) {
	for param := range strings.SplitSeq(string(header.Peek(fasthttp.HeaderKeepAlive)), ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(param), "=")
		if !strings.EqualFold(name, "timeout") {
			continue
		}
		seconds, err := strconv.Atoi(value)
		if err != nil {
			return 0, false
		}
		return time.Duration(seconds) * time.Second * keepAliveNumerator / keepAliveDenominator, true
	}
	return 0, false
}

// An idle connection is kept for keepAliveNumerator/keepAliveDenominator of the
// announced timeout.
const (
	keepAliveNumerator   = 3
	keepAliveDenominator = 4
)
