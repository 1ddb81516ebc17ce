package commander_test

import (
	"context"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/rogpeppe/go-internal/testscript"
	"github.com/valyala/fasthttp"

	"github.com/sardinetiller/sardinetiller/internal/experiment/stager"
	"github.com/sardinetiller/sardinetiller/internal/instance/server"
	"github.com/sardinetiller/sardinetiller/internal/wire/requester"
)

// The scripts under testdata run commands as real processes. In addition to the
// built-in commands of testscript they use: standin KIND, serve FILE, stop NAME,
// subst FILE…, exits CODE COMMAND…, answers STATUS BODY, eventually STATUS BODY,
// located ADAPTER.
func TestScripts(t *testing.T) {
	testscript.Run(t, testscript.Params{
		Dir: "testdata/scripts",
		Cmds: map[string]func(ts *testscript.TestScript, neg bool, args []string){
			"answers": cmdAnswers, "eventually": cmdEventually, "exits": cmdExits, "located": cmdLocated, "serve": cmdServe,
			"standin": cmdStandin, "stop": cmdStop, "subst": cmdSubst,
		},
		Setup: func(e *testscript.Env) error {
			e.Values[scriptProcessesKey{}] = make(map[string]*scriptProcess)
			e.Setenv("KEYHASH", hashOf(stager.Key))
			return nil
		},
	})
}

type scriptProcessesKey struct{}

// A scriptProcess is a background process of a script.
type scriptProcess struct {
	cmd    *exec.Cmd
	stderr *syncBuffer
}

// startInBackground starts the program, which is killed when the script ends. It
// waits until stderr contains before and returns the word after it.
func startInBackground(ts *testscript.TestScript, name, before string, args ...string) string {
	stderr := &syncBuffer{}
	cmd := exec.Command(os.Args[0], args...)
	cmd.Dir = ts.Getenv("WORK")
	cmd.Env = append(os.Environ(), runAsProgramEnv+"=1", "SARDINETILLER_PLATFORM="+ts.Getenv("SARDINETILLER_PLATFORM"))
	cmd.Stderr = stderr
	ts.Check(cmd.Start())
	scriptProcesses(ts)[name] = &scriptProcess{cmd: cmd, stderr: stderr}
	ts.Defer(func() {
		_ = cmd.Process.Kill()
		_ = cmd.Wait()
	})
	for deadline := time.Now().Add(waitTimeout); ; time.Sleep(10 * time.Millisecond) {
		if _, rest, ok := strings.Cut(stderr.String(), before); ok && strings.ContainsAny(rest, " \n") {
			return strings.FieldsFunc(rest, func(r rune) bool { return r == ' ' || r == '\n' })[0]
		}
		if time.Now().After(deadline) {
			ts.Fatalf("%v did not write %q: %s", args, before, stderr.String())
		}
	}
}

func scriptProcesses(ts *testscript.TestScript) map[string]*scriptProcess {
	return ts.Value(scriptProcessesKey{}).(map[string]*scriptProcess)
}

func cmdStandin(ts *testscript.TestScript, _ bool, args []string) {
	kind := args[0]
	address := startInBackground(ts, kind, kind+" at ", "standin", kind, "--listen", "127.0.0.1:0")
	ts.Setenv(strings.ToUpper(kind), address)
	if kind == "platform" {
		ts.Setenv("SARDINETILLER_PLATFORM", address)
	}
}

func cmdServe(ts *testscript.TestScript, _ bool, args []string) {
	ts.Setenv("CALLER", startInBackground(ts, "serve", "msg=started caller=", "serve", "--settings", args[0]))
	_, rest, _ := strings.Cut(scriptProcesses(ts)["serve"].stderr.String(), " operator=")
	ts.Setenv("SARDINETILLER_OPERATOR", strings.Fields(rest)[0])
}

// cmdStop stops a process gracefully and checks that it exits with code 0.
func cmdStop(ts *testscript.TestScript, _ bool, args []string) {
	p := scriptProcesses(ts)[args[0]]
	ts.Check(p.cmd.Process.Signal(syscall.SIGTERM))
	if err := p.cmd.Wait(); err != nil {
		ts.Fatalf("%s: %v\n%s", args[0], err, p.stderr.String())
	}
}

// cmdSubst expands variables in all YAML files of the directories of its arguments.
func cmdSubst(ts *testscript.TestScript, _ bool, args []string) {
	for _, arg := range args {
		files, err := filepath.Glob(filepath.Join(filepath.Dir(ts.MkAbs(arg)), "*.yaml"))
		ts.Check(err)
		for _, file := range files {
			data, err := os.ReadFile(file)
			ts.Check(err)
			ts.Check(os.WriteFile(file, []byte(os.Expand(string(data), ts.Getenv)), 0o600))
		}
	}
}

// cmdExits runs a command and checks its exit code.
func cmdExits(ts *testscript.TestScript, _ bool, args []string) {
	err := ts.Exec(args[1], args[2:]...)
	code := 0
	if exit, ok := err.(*exec.ExitError); ok { //nolint:errorlint // testscript does not wrap it
		code = exit.ExitCode()
	}
	if strconv.Itoa(code) != args[0] {
		ts.Fatalf("exit code %d, want %s", code, args[0])
	}
}

func cmdAnswers(ts *testscript.TestScript, _ bool, args []string) {
	status, body := postCompletion(ts, strings.Join(args[1:], " "))
	if strconv.Itoa(status) != args[0] {
		ts.Fatalf("status %d, want %s: %s", status, args[0], body)
	}
}

func cmdEventually(ts *testscript.TestScript, _ bool, args []string) {
	for deadline := time.Now().Add(waitTimeout); time.Now().Before(deadline); time.Sleep(20 * time.Millisecond) {
		if status, _ := postCompletion(ts, strings.Join(args[1:], " ")); strconv.Itoa(status) == args[0] {
			return
		}
	}
	ts.Fatalf("no response with status %s", args[0])
}

// cmdLocated waits until the adapter is resident at the first runner.
func cmdLocated(ts *testscript.TestScript, _ bool, args []string) {
	for deadline := time.Now().Add(waitTimeout); time.Now().Before(deadline); time.Sleep(20 * time.Millisecond) {
		var s server.Status
		if getJSON(ts.Getenv("SARDINETILLER_OPERATOR"), server.PathStatus, &s) && len(s.Runners) > 0 && slices.Contains(s.Runners[0].Resident, args[0]) {
			return
		}
	}
	ts.Fatalf("%s is not resident at the first runner", args[0])
}

func postCompletion(ts *testscript.TestScript, body string) (int, string) {
	request := &fasthttp.Request{}
	request.Header.SetMethod(fasthttp.MethodPost)
	request.Header.Set(fasthttp.HeaderAuthorization, "Bearer "+stager.Key)
	request.SetRequestURI("http://" + ts.Getenv("CALLER") + "/v1/completions")
	request.SetBodyString(body)
	var r requester.Requester
	status, response, observation := r.ReadAll(context.Background(), ts.Getenv("CALLER"), request)
	if observation != nil {
		ts.Fatalf("%+v", observation)
	}
	return status, string(response)
}
