package surveyor

import (
	"runtime"
	"syscall"
	"time"

	"github.com/sardinetiller/sardinetiller/internal/experiment/stager"
)

// A sample holds the values of the counters at one moment.
type sample struct {
	at      time.Time
	bytes   int64
	commits int
	cpu     float64
	memory  float64
	peers   int64
	reads   int
}

func takeSample(deployment *stager.Deployment) sample {
	var usage syscall.Rusage
	_ = syscall.Getrusage(syscall.RUSAGE_SELF, &usage) // never fails for the calling process
	runtime.GC()
	var memory runtime.MemStats
	runtime.ReadMemStats(&memory)
	counters := deployment.Platform.Counters()
	s := sample{
		at: time.Now(), bytes: counters.Bytes, commits: counters.Commits, reads: counters.Reads, memory: float64(memory.HeapAlloc),
		cpu: time.Duration(usage.Utime.Nano() + usage.Stime.Nano()).Seconds(),
	}
	for _, i := range deployment.Instances {
		s.peers += i.Server.Mesh.Bytes()
	}
	return s
}

func (s sample) pointTo(after sample, baselineCPU, x, instances float64) Point {
	span := after.at.Sub(s.at).Seconds()
	instanceSeconds := span * instances
	return Point{
		X: x, CPU: max(0, (after.cpu-s.cpu)/span-baselineCPU) / instances, Memory: after.memory / instances,
		Peers: float64(after.peers-s.peers) / instanceSeconds, Reads: float64(after.reads-s.reads) / instanceSeconds,
		Commits: float64(after.commits-s.commits) / instanceSeconds, Bytes: float64(after.bytes-s.bytes) / instanceSeconds,
	}
}
