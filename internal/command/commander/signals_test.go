package commander_test

import (
	"fmt"
	"os"
	"path/filepath"
	"syscall"
	"testing"
	"time"
)

// During a graceful stop an instance receives a second SIGTERM from its supervisor
// or a SIGHUP after a change of its settings. Either signal used to terminate the
// process at once, so that callers lost their responses. The stop must complete
// with exit code 0.
func TestRepeatedSignalsDoNotInterruptGracefulStop(t *testing.T) {
	for _, tc := range []struct {
		name   string
		signal syscall.Signal
	}{{"stop", syscall.SIGTERM}, {"hangup", syscall.SIGHUP}} {
		t.Run(tc.name, func(t *testing.T) {
			t.Parallel()
			file := filepath.Join(t.TempDir(), "gateway.yaml")
			text := "id: front-1\ndomain: a\ncaller: 127.0.0.1:0\nready: 127.0.0.1:0\npeer: 127.0.0.1:0\nplatform: 127.0.0.1:1\n"
			if err := os.WriteFile(file, []byte(text), 0o600); err != nil {
				t.Fatal(err)
			}
			p := start(t, "gateway", "--settings", file)
			p.await(t, `msg=(started)`)
			p.signal(syscall.SIGTERM)
			p.await(t, `msg=(stopping)`)
			p.signal(tc.signal)
			select {
			case <-p.done:
			case <-time.After(waitTimeout):
				t.Fatal("the process does not exit")
			}
			if code := p.cmd.ProcessState.ExitCode(); code != 0 {
				t.Error(fmt.Sprint("exited with ", p.cmd.ProcessState, ":\n", p.tail()))
			}
		})
	}
}
