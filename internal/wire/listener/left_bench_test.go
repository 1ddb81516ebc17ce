package listener

import (
	"net"
	"testing"
)

// BenchmarkClientLeft measures what a request pays before each attempt at a runner.
func BenchmarkClientLeft(b *testing.B) {
	l, err := ListenLoopback()
	if err != nil {
		b.Fatal(err)
	}
	defer func() { _ = l.Close() }()
	client, err := net.Dial("tcp", l.Addr().String())
	if err != nil {
		b.Fatal(err)
	}
	defer func() { _ = client.Close() }()
	accepted, err := l.Accept()
	if err != nil {
		b.Fatal(err)
	}
	c := &Conn{Conn: accepted, server: &Server{}}
	for b.Loop() {
		if c.ClientLeft() {
			b.Fatal("the client has not left")
		}
	}
}
