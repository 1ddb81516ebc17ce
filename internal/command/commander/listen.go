package commander

import (
	"fmt"
	"net"
)

// A socket is a listen address from the settings and the listener to open on it.
type socket struct {
	field, address string
	listener       *net.Listener
}

// listenOn opens the listeners. The error names the settings field and the fix.
func listenOn(sockets ...socket) error {
	for _, s := range sockets {
		var err error
		if *s.listener, err = net.Listen("tcp", s.address); err != nil {
			return fmt.Errorf("%s: %w; choose a free address", s.field, err)
		}
	}
	return nil
}
