package shedder_test

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/sardinetiller/sardinetiller/internal/request/shedder"
)

// Guards against a link that counts as full after a burst that it has carried since, and against one that never does.
func TestQueueBeforeTheLink(t *testing.T) {
	start := time.Now()
	q := shedder.LinkQueue{Bandwidth: 1000}
	var got []time.Duration
	for second, sent := range []int64{0, 1000, 2500, 4500, 5000, 5000, 7000} {
		got = append(got, q.Observe(sent, start.Add(time.Duration(second)*time.Second)))
	}
	if diff := cmp.Diff([]time.Duration{0, 0, 500 * time.Millisecond, 1500 * time.Millisecond, time.Second, 0, time.Second}, got); diff != "" {
		t.Error(diff)
	}
	var unknown shedder.LinkQueue
	unknown.Observe(0, start)
	if wait := unknown.Observe(1<<30, start.Add(time.Second)); wait != 0 {
		t.Errorf("a wait of %s before a link of unknown bandwidth", wait)
	}
}

// Guards against a link that counts as full after a burst, and against one that is full of what is received and does not
// count as such.
func TestUseOfTheLinkByWhatIsReceived(t *testing.T) {
	start := time.Now()
	u := shedder.LinkUse{Bandwidth: 1000}
	var got []shedder.Resource
	for second, received := range []int64{5000, 5500, 6500, 6600} {
		got = append(got, shedder.Reading{LinkUse: u.Observe(received, start.Add(time.Duration(second)*time.Second))}.Short())
	}
	if diff := cmp.Diff([]shedder.Resource{shedder.None, shedder.None, shedder.Link, shedder.None}, got); diff != "" {
		t.Error(diff)
	}
	var unknown shedder.LinkUse
	unknown.Observe(0, start)
	if use := unknown.Observe(1<<30, start.Add(time.Second)); use != 0 {
		t.Errorf("%g of a link of unknown bandwidth is used", use)
	}
}
