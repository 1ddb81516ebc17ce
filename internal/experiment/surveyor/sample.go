package surveyor

import (
	"runtime"
	"syscall"
	"time"

	"github.com/sardinetiller/sardinetiller/internal/experiment/stager"
)

// A reading is the state of the counters at one moment.
type sample struct {
	at      time.Time
	bytes   int64
	commits int
	cpu     float64
	memory  float64
	peers   int64
	reads   int
}

func takeSample(stage *stager.Deployment) sample {
	var usage syscall.Rusage
	_ = syscall.Getrusage(syscall.RUSAGE_SELF, &usage) // never fails for the own process
	runtime.GC()
	var memory runtime.MemStats
	runtime.ReadMemStats(&memory)
	books := stage.Platform.Counters()
	r := sample{
		at: time.Now(), bytes: books.Bytes, commits: books.Commits, reads: books.Reads, memory: float64(memory.HeapAlloc),
		cpu: time.Duration(usage.Utime.Nano() + usage.Stime.Nano()).Seconds(),
	}
	for _, i := range stage.Instances {
		r.peers += i.Server.Mesh.Bytes()
	}
	return r
}

func (r sample) pointTo(after sample, idle, x, instances float64) Point {
	span := after.at.Sub(r.at).Seconds()
	each := span * instances
	return Point{
		X: x, CPU: max(0, (after.cpu-r.cpu)/span-idle) / instances, Memory: after.memory / instances,
		Peers: float64(after.peers-r.peers) / each, Reads: float64(after.reads-r.reads) / each,
		Commits: float64(after.commits-r.commits) / each, Bytes: float64(after.bytes-r.bytes) / each,
	}
}
