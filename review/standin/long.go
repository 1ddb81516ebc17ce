//go:build review

package main

import (
	"fmt"
	"net/http"
	"time"
)

const (
	// longBody is the size of the answers of the runners, and shortBody that without trouble.
	longBody  = 16<<20 + 1
	shortBody = 800
	// fetches is the number of requests, one after the other.
	fetches = 20
)

// playLong makes a plain service answer with bodies of a little over 16 MiB. It checks the rule MIXED: no
// caller gets a success whose body is not the runner's whole body.
func playLong(p *play) (broken bool, err error) {
	p.configure()
	for n := range 2 {
		r, err := p.addRunner(fmt.Sprintf("i-survey-records-%d", n), "survey-records", zones[n%2], "v1", false)
		if err != nil {
			return false, err
		}
		r.size = shortBody
		if p.trouble {
			r.size = longBody
		}
		p.register(r)
	}
	if err := p.addFront("front-1", zones[0]); err != nil {
		return false, err
	}
	if err := p.awaitReady(); err != nil {
		return false, err
	}
	cut := 0
	for n := range fetches {
		c, err := dialCaller(p.rec, p.fronts[0].caller)
		if err != nil {
			return false, err
		}
		a := c.ask(fmt.Sprintf("fetch-%d", n), http.MethodGet, "/fetch/x", 1500)
		c.close()
		if want := p.runners[0].size; a.status == http.StatusOK && a.err == nil && len(a.body) != want {
			cut++
			p.rec.log("MIXED: the complete answer to fetch-%d has %d bytes of %d", n, len(a.body), want)
		}
		time.Sleep(50 * time.Millisecond)
	}
	p.rec.log("%d requests; %d with a success whose body is not the runner's whole body, 0 may", fetches, cut)
	return cut > 0, nil
}
