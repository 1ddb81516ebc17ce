//go:build review

package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"time"
)

// An answer is what a caller has received.
type answer struct {
	status   int
	header   http.Header
	body     string
	err      error // no complete answer
	last     int   // ID of the last event
	versions []string
}

// A caller has one connection to an instance.
type caller struct {
	rec    *record
	conn   net.Conn
	reader *bufio.Reader
	served int // requests that were answered on this connection
}

func dialCaller(rec *record, address string) (*caller, error) {
	conn, err := net.DialTimeout("tcp", address, time.Second)
	if err != nil {
		return nil, err
	}
	return &caller{rec: rec, conn: conn, reader: bufio.NewReader(conn)}, nil
}

func (c *caller) close() { _ = c.conn.Close() }

// ask sends a request and reads its answer. The deadline is in milliseconds.
func (c *caller) ask(id, method, path string, deadline int, header ...string) answer {
	body := ""
	if method == http.MethodPost {
		body = fmt.Sprintf(`{"text": %q}`, "survey of "+id)
	}
	c.rec.log("caller sends %s: %s %s %s", id, method, path, strings.Join(header, ", "))
	_ = c.conn.SetDeadline(time.Now().Add(time.Duration(deadline) * time.Millisecond))
	message := fmt.Sprintf("%s %s HTTP/1.1\r\nHost: desk.example\r\nRequest-Id: %s\r\nDeadline-Ms: %d\r\n", method, path, id, deadline)
	for _, line := range header {
		message += line + "\r\n"
	}
	message += fmt.Sprintf("Content-Length: %d\r\n\r\n%s", len(body), body)
	a := c.exchange(message, method)
	switch {
	case a.status == 0:
		c.rec.log("caller gets no answer to %s: %v", id, a.err)
	case a.err != nil:
		c.rec.log("caller gets an incomplete answer to %s: status %d, last event %d, %v", id, a.status, a.last, a.err)
	default:
		c.served++
		c.rec.log("caller gets the answer to %s: status %d, "+names.Stamp+" %q, Request-Id %q, last event %d, %d bytes, Retry-After %q", id, a.status, a.header.Get(names.Stamp), a.header.Get("Request-Id"), a.last, len(a.body), a.header.Get("Retry-After"))
	}
	return a
}

func (c *caller) exchange(message, method string) (a answer) {
	if _, err := io.WriteString(c.conn, message); err != nil {
		return answer{err: err}
	}
	response, err := http.ReadResponse(c.reader, &http.Request{Method: method})
	if err != nil {
		return answer{err: err}
	}
	defer func() { _ = response.Body.Close() }()
	a = answer{status: response.StatusCode, header: response.Header}
	var body strings.Builder
	lines := bufio.NewReader(response.Body)
	for {
		line, err := lines.ReadString('\n')
		body.WriteString(line)
		a.observe(strings.TrimSuffix(line, "\n"))
		if err == io.EOF {
			break
		}
		if err != nil {
			a.err = err
			break
		}
	}
	a.body = body.String()
	return a
}

// observe records one line of an event stream.
func (a *answer) observe(line string) {
	if text, ok := strings.CutPrefix(line, "id: "); ok {
		a.last, _ = strconv.Atoi(text)
	}
	if data, ok := strings.CutPrefix(line, "data: "); ok {
		version, _, _ := strings.Cut(data, " ")
		for _, known := range a.versions {
			if known == version {
				return
			}
		}
		a.versions = append(a.versions, version)
	}
}
