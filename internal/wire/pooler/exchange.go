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
)

// A Call is one request as it goes on the wire.
type Call struct {
	Address string // host:port
	Key     string // of the peer
	Message []byte // head and body
	NoBody  bool   // the answer has no body whatever its head says, as to HEAD

	// Own reports whether an answer names this request. Nil takes any.
	Own func(header *fasthttp.ResponseHeader) bool
}

// An Answer is the head of a response and its body. It must be closed.
type Answer struct {
	Status int
	Header *fasthttp.ResponseHeader
	Body   io.Reader

	pool *Pool
	conn *conn
	key  string
	stop func() bool
	done bool
}

// ErrForeign is a connection on which more answers came that do not name the
// request than a peer sends by mistake.
var ErrForeign = errors.New("the answers on the connection name other requests")

// foreign is how many answers to other requests are passed over before the
// connection is given up. A peer that repeats an answer sends one.
const foreign = 2

// Do sends a request and reads the head of its answer. The request ends with
// ctx. If there is no answer, the observation tells how far the request got.
func (p *Pool) Do(ctx context.Context, call Call) (*Answer, judge.Observation) {
	c := p.get(call.Key, time.Now())
	if c == nil {
		var err error
		if c, err = p.dial(ctx, call.Address); err != nil {
			return nil, judge.Dialed{Err: err}
		}
	}
	stop := context.AfterFunc(ctx, func() { _ = c.Close() })
	answer, err := c.exchange(call)
	if err != nil {
		stop()
		_ = c.Close()
		return nil, judge.Broken{Written: c.count(), Err: err}
	}
	answer.pool, answer.conn, answer.key, answer.stop = p, c, call.Key, stop
	return answer, nil
}

// exchange writes a request and reads answers until one names it.
func (c *conn) exchange(call Call) (*Answer, error) {
	if _, err := c.Write(call.Message); err != nil {
		return nil, err
	}
	for range foreign + 1 {
		response := &fasthttp.Response{StreamBody: true, SkipBody: call.NoBody}
		if err := response.ReadLimitBody(c.reader, 0); err != nil {
			return nil, err
		}
		body := response.BodyStream()
		length := response.Header.ContentLength()
		switch {
		case body == nil:
			body = strings.NewReader("")
		case length >= 0:
			body = Exact(body, length)
		}
		if call.Own == nil || call.Own(&response.Header) {
			return &Answer{Status: response.StatusCode(), Header: &response.Header, Body: body}, nil
		}
		if _, err := io.Copy(io.Discard, body); err != nil {
			return nil, err
		}
	}
	return nil, ErrForeign
}

// Broken returns the observation of a body that could not be read to its end.
func (a *Answer) Broken(err error) judge.Observation {
	return judge.Broken{Written: a.conn.count(), Head: true, Err: err}
}

// Close gives the connection back if the body was read to its end, else ends
// it, and with it the work of the peer.
func (a *Answer) Close(whole bool) {
	if a.done {
		return
	}
	a.done = true
	kept := a.stop()
	framed := a.Header.ContentLength() != identity
	if !whole || !kept || !framed || a.Header.ConnectionClose() || a.conn.reader.Buffered() > 0 {
		_ = a.conn.Close()
		return
	}
	if limit, ok := keepAlive(a.Header); ok {
		a.conn.limit = min(a.pool.Idle, limit)
	}
	a.pool.put(a.key, a.conn)
}

// identity is what fasthttp returns as the length of a body that ends with its
// connection.
const identity = -2

// keepAlive returns how long the peer keeps an unused connection, less a part
// for the way: a request must not cross the peer's close.
func keepAlive(header *fasthttp.ResponseHeader) (time.Duration, bool) {
	for part := range strings.SplitSeq(string(header.Peek(fasthttp.HeaderKeepAlive)), ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(part), "=")
		if !strings.EqualFold(name, "timeout") {
			continue
		}
		seconds, err := strconv.Atoi(value)
		if err != nil {
			return 0, false
		}
		return time.Duration(seconds) * time.Second * keepPart / keepWhole, true
	}
	return 0, false
}

// keepPart of keepWhole of the time that a peer names is used.
const (
	keepPart  = 3
	keepWhole = 4
)
