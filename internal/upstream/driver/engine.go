package driver

import (
	"sync/atomic"
	"time"

	"github.com/sardinetiller/sardinetiller/internal/member/relayer"
	"github.com/sardinetiller/sardinetiller/internal/request/quarantiner"
	"github.com/sardinetiller/sardinetiller/internal/upstream/orderer"
)

// An engine is one runner with the driver's own state of it.
type engine struct {
	*orderer.Runner

	addr            atomic.Pointer[string]                // address, read without the lock when a request or an order is sent
	reportRequested time.Time                             // when the last report was requested; zero to request one at once
	dropped         bool                                  // removed from the settings
	brokenResponses map[quarantiner.Digest]brokenResponse // requests whose responses broke off since the last report
	checking        bool                                  // a check of the engine is in flight
	fencing         bool
	releasing       int    // requests that ended here but perhaps not in the engine
	missedReports   int    // consecutive reports that failed
	reported        bool   // a report was applied since the ownership began
	version         uint64 // Driver.version at the last change of the state
	waiters         map[string]*waiter
}

// address returns the address of the engine from the latest settings.
func (e *engine) address() string { return *e.addr.Load() }

func (e *engine) load(number int, wait time.Duration) relayer.Load {
	return relayer.Load{
		Number: number, Running: e.Running(), Waiting: e.Queue.Len(), Free: e.Keeper.Free(),
		Ramp: int(relayer.Hundredths * e.Ramp()), Wait: int(relayer.Hundredths * wait.Seconds()),
	}
}

func (e *engine) state(number int, name string) relayer.State {
	return relayer.State{
		Number: number, Name: name, Owned: e.Keeper.Owned(), Leaving: e.Leaving() || e.missedReports >= maxMissedReports,
		Resident: e.Keeper.Resident(), Loading: e.pendingAdapters(),
	}
}

// pendingAdapters returns the adapters that are being loaded or queued for a load.
// Further requests for one of them are best sent here too.
func (e *engine) pendingAdapters() []string {
	adapters := e.Keeper.LoadingAdapters()
	for _, n := range e.Needs() {
		adapters = append(adapters, n.Adapter)
	}
	return adapters
}
