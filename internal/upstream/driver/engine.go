package driver

import (
	"sync/atomic"
	"time"

	"github.com/sardinetiller/sardinetiller/internal/member/relayer"
	"github.com/sardinetiller/sardinetiller/internal/request/quarantiner"
	"github.com/sardinetiller/sardinetiller/internal/upstream/orderer"
)

// An engine is one runner with what the driver knows of it beside the
// decisions.
type engine struct {
	*orderer.Runner

	at        atomic.Pointer[string]        // address, read without the lock while a request or an order goes out
	asked     time.Time                     // when the last report was asked for
	dropped   bool                          // the settings name it no more
	broke     map[quarantiner.Digest]broken // requests whose answers broke off here since the last report
	asking    bool                          // a report, a fencing number or a clearing is under way
	fencing   bool
	releasing int    // requests that ended here and perhaps not in the engine
	silent    int    // reports in a row that it did not give
	reported  bool   // a report was taken in since the tenure began
	version   uint64 // of what is resident
	waiters   map[string]*waiter
}

// address returns where the engine is reached, as the settings said last.
func (e *engine) address() string { return *e.at.Load() }

func (e *engine) load(number int, wait time.Duration) relayer.Load {
	return relayer.Load{
		Number: number, Running: e.Running(), Waiting: e.Queue.Len(), Free: e.Keeper.Free(),
		Ramp: int(relayer.Hundredths * e.Ramp()), Wait: int(relayer.Hundredths * wait.Seconds()),
	}
}

func (e *engine) state(number int, name string) relayer.State {
	return relayer.State{
		Number: number, Name: name, Owned: e.Keeper.Owned(), Leaving: e.Leaving() || e.silent >= silentReports,
		Resident: e.Keeper.Resident(), Loading: e.coming(),
	}
}

// coming returns the adapters that are being loaded or stand in line for it.
// Others that want one of them do best to join.
func (e *engine) coming() []string {
	adapters := e.Keeper.Coming()
	for _, n := range e.Needs() {
		adapters = append(adapters, n.Adapter)
	}
	return adapters
}
