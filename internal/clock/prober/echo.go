package prober

import (
	"errors"
	"os"
)

// An echo is a pipe from this process to itself.
type echo struct {
	read, write *os.File
	ready       chan struct{} // receives when a byte is about to be read
	done        chan error    // receives when it was read
}

func newEcho() (*echo, error) {
	r, w, err := os.Pipe()
	if err != nil {
		return nil, err
	}
	e := &echo{read: r, write: w, ready: make(chan struct{}), done: make(chan error)}
	go e.receive()
	return e, nil
}

// receive reads the bytes that send writes.
func (e *echo) receive() {
	var b [1]byte
	for range e.ready {
		_, err := e.read.Read(b[:])
		e.done <- err
	}
}

// send sends a byte and returns when it was read. The reader waits for it by then, so that the kernel has to wake it.
func (e *echo) send() error {
	e.ready <- struct{}{}
	if _, err := e.write.Write([]byte{0}); err != nil {
		_ = e.write.Close() // ends the read
		return errors.Join(err, <-e.done)
	}
	return <-e.done
}

func (e *echo) close() {
	close(e.ready)
	_ = e.write.Close()
	_ = e.read.Close()
}
