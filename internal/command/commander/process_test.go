package commander_test

import (
	"bufio"
	"os"
	"os/exec"
	"regexp"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/rogpeppe/go-internal/testscript"
	"github.com/sirupsen/logrus"

	"github.com/sardinetiller/sardinetiller/internal/command/commander"
)

// runAsProgramEnv is set to make the test binary run as the program, so that tests
// can start real processes without building it.
const runAsProgramEnv = "RUN_AS_SARDINETILLER"

func TestMain(m *testing.M) {
	logrus.SetLevel(logrus.FatalLevel) // the proxy library logs every connection
	if os.Getenv(runAsProgramEnv) != "" {
		os.Exit(commander.Main(os.Args[1:], os.Stdin, os.Stdout, os.Stderr))
	}
	testscript.Main(m, map[string]func(){
		"sardinetiller": func() { os.Exit(commander.Main(os.Args[1:], os.Stdin, os.Stdout, os.Stderr)) },
	})
}

// A process is a running instance of the program.
type process struct {
	cmd   *exec.Cmd
	done  chan struct{}
	mu    sync.Mutex
	lines []string
}

// start starts the program and kills it when the test ends.
func start(t *testing.T, args ...string) *process {
	t.Helper()
	p := &process{cmd: exec.Command(os.Args[0], args...), done: make(chan struct{})}
	p.cmd.Env = append(os.Environ(), runAsProgramEnv+"=1")
	out, written, err := os.Pipe()
	if err != nil {
		t.Fatal(err)
	}
	p.cmd.Stdout, p.cmd.Stderr = written, written
	if err := p.cmd.Start(); err != nil {
		t.Fatal(err)
	}
	_ = written.Close() // the child holds its own copy, so that reading ends when the child exits
	go func() {
		defer close(p.done)
		defer func() { _ = out.Close() }()
		for scanner := bufio.NewScanner(out); scanner.Scan(); {
			p.mu.Lock()
			p.lines = append(p.lines, scanner.Text())
			p.mu.Unlock()
		}
		_ = p.cmd.Wait()
	}()
	t.Cleanup(func() {
		p.signal(syscall.SIGCONT)
		p.signal(syscall.SIGKILL)
		<-p.done
		if race := p.race(); race != "" {
			t.Errorf("%v: %s", args, race)
		}
		if t.Failed() {
			t.Logf("%v:\n%s", args, p.tail())
		}
	})
	return p
}

// await waits until a line of the output matches the pattern and returns the
// match of its first group.
func (p *process) await(t *testing.T, pattern string) string {
	t.Helper()
	re := regexp.MustCompile(pattern)
	var found string
	waitFor(t, pattern, func() bool {
		p.mu.Lock()
		defer p.mu.Unlock()
		for _, line := range p.lines {
			if match := re.FindStringSubmatch(line); match != nil {
				found = match[1]
				return true
			}
		}
		select {
		case <-p.done:
			t.Fatalf("the process exited before it wrote %s", pattern)
		default:
		}
		return false
	})
	return found
}

// race returns the report of the race detector, if any.
func (p *process) race() string {
	p.mu.Lock()
	defer p.mu.Unlock()
	for n, line := range p.lines {
		if strings.Contains(line, "DATA RACE") {
			return strings.Join(p.lines[n:min(n+40, len(p.lines))], "\n")
		}
	}
	return ""
}

func (p *process) signal(s syscall.Signal) { _ = p.cmd.Process.Signal(s) }

func (p *process) tail() string {
	p.mu.Lock()
	defer p.mu.Unlock()
	text := ""
	for _, line := range p.lines[max(0, len(p.lines)-15):] {
		text += line + "\n"
	}
	return text
}

// waitTimeout limits each wait for a condition. No test passes because time has
// elapsed.
const waitTimeout = 30 * time.Second

func waitFor(t *testing.T, what string, condition func() bool) {
	t.Helper()
	for deadline := time.Now().Add(waitTimeout); !condition(); time.Sleep(20 * time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatalf("timed out after %s waiting for: %s", waitTimeout, what)
		}
	}
}
