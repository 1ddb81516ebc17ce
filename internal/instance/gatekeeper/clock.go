package gatekeeper

import (
	"time"

	"golang.org/x/sys/unix"
)

// uptime reads a clock that keeps running while the host is suspended. The runtime's clock
// stops then, and a lease measured by it would outlive its row in the store.
func uptime() time.Duration {
	var t unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &t); err != nil {
		panic(err) // every Linux has this clock
	}
	return time.Duration(t.Nano())
}
