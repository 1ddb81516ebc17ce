//go:build review

// Command standin plays the cases of the review: it starts a store, runners, callers and the
// gateway processes of a small deployment on loopback addresses, disrupts them, and checks one rule
// by what callers, runners and the store have seen.
//
// Usage: standin CASE RECORD. The exit code is 1 if the rule was broken, 0 if it held, and 2 if the
// case could not run. TROUBLE=0 in the environment leaves the disruption out.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"
)

const (
	exitHeld   = 0
	exitBroken = 1
	exitFailed = 2
)

// maxDuration ends a case that takes too long.
const maxDuration = 110 * time.Second

// A play is one run of a case.
type play struct {
	*deployment

	trouble bool
}

// cases maps the name of each case to its function, which reports whether the rule was broken. Those
// without a folder of their own are named in review/REPORT.md.
var cases = map[string]func(p *play) (broken bool, err error){
	"crash": playCrash,
	"drill": playDrill,
	"extra": playExtra,
	"long":  playLong,
	"order": playOrder,
	"twice": playTwice,
}

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: standin CASE RECORD")
		os.Exit(exitFailed)
	}
	os.Exit(run(os.Args[1], os.Args[2]))
}

func run(name, recordFile string) (code int) {
	rec, err := newRecord(recordFile)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitFailed
	}
	defer rec.close()
	d, err := newDeployment(rec)
	if err != nil {
		rec.log("cannot run: %v", err)
		return exitFailed
	}
	defer d.close()
	type result struct {
		broken bool
		err    error
	}
	done := make(chan result, 1)
	p := &play{deployment: d, trouble: os.Getenv("TROUBLE") != "0"}
	rec.log("case %s, trouble %t", name, p.trouble)
	stopped := make(chan os.Signal, 1)
	signal.Notify(stopped, os.Interrupt, syscall.SIGTERM)
	go func() {
		broken, err := cases[name](p)
		done <- result{broken, err}
	}()
	select {
	case r := <-done:
		switch {
		case r.err != nil:
			rec.log("cannot run: %v", r.err)
			return exitFailed
		case r.broken:
			rec.log("RULE BROKEN")
			return exitBroken
		}
		rec.log("the rule held")
		return exitHeld
	case s := <-stopped:
		rec.log("cannot run: %v", s)
		return exitFailed
	case <-time.After(maxDuration):
		rec.log("cannot run: it took more than %s", maxDuration)
		return exitFailed
	}
}
