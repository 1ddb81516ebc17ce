package server

import (
	"context"
	"sync"
	"time"

	"github.com/go-kit/log/level"

	"github.com/sardinetiller/sardinetiller/internal/member/heartbeater"
	"github.com/sardinetiller/sardinetiller/internal/member/relayer"
	"github.com/sardinetiller/sardinetiller/internal/request/judge"
	"github.com/sardinetiller/sardinetiller/internal/request/quarantiner"
	"github.com/sardinetiller/sardinetiller/internal/request/streamer"
)

// crashReportRepeat is how long a crash report is repeated with each heartbeat, for peers
// that were temporarily unreachable.
const crashReportRepeat = 10 * time.Second

// A quarantine holds this instance's records of requests that crash engines. An instance
// sends its crash reports to all instances of its failure domain and to one of each other
// domain, which relays them in its own.
type quarantine struct {
	ledger quarantiner.Ledger

	mu            sync.Mutex
	repeatedSince map[quarantiner.Crash]time.Time // reports repeated with each heartbeat, and since when
	queuedRows    map[quarantiner.Crash]bool      // rows to be written or, if true, deleted
	stored        map[quarantiner.Crash]bool      // crashes whose row is in the table
}

// Crashed implements driver.Quarantine.
func (s *Server) Crashed(engine string, requests map[quarantiner.Digest]time.Duration) {
	var reports []quarantiner.CrashReport
	for d, ran := range requests {
		reports = append(reports, quarantiner.CrashReport{Digest: d, Runner: engine, RunTime: ran})
	}
	s.publishCrashReports(s.applyCrashReports(reports, "self"))
}

// Refusal implements driver.Quarantine and dispatcher.Quarantine.
func (s *Server) Refusal(call *streamer.Call) *judge.Error {
	if s.quarantine.ledger.Empty() {
		return nil
	}
	left, quarantined := s.quarantine.ledger.Quarantined(call.Digest(), time.Now())
	if !quarantined {
		return nil
	}
	return judge.Refuse(judge.ReasonQuarantine, "the engines that ran this request crashed").WithRetryAfter(left)
}

// ReportCompleted implements dispatcher.Quarantine.
func (s *Server) ReportCompleted(call *streamer.Call) {
	if s.quarantine.ledger.Empty() {
		return
	}
	s.publishCrashReports(s.quarantine.ledger.Clear(call.Digest(), time.Now()))
}

// HandleCrashReports implements relayer.CrashHandler.
func (s *Server) HandleCrashReports(from heartbeater.Instance, c relayer.Crashes) {
	reports := s.applyCrashReports(c.Reports, from.ID)
	if from.Domain != s.Config.Domain {
		s.publishCrashReports(reports)
	}
}

// quarantined returns the quarantined requests.
func (q *quarantine) quarantined(now time.Time) []QuarantineStatus {
	list := []QuarantineStatus{}
	for _, c := range q.ledger.Cases() {
		if now.Before(c.Until) {
			list = append(list, QuarantineStatus{Digest: string(c.Digest), Crashes: c.Crashes, Until: c.Until})
		}
	}
	return list
}

// applyCrashReports applies crash reports and returns those that were new.
func (s *Server) applyCrashReports(reports []quarantiner.CrashReport, from string) []quarantiner.CrashReport {
	newReports := s.quarantine.ledger.Apply(reports, time.Now())
	for _, r := range newReports {
		left, quarantined := s.quarantine.ledger.Quarantined(r.Digest, time.Now())
		_ = level.Info(s.Logger).Log("msg", "request suspected", "digest", r.Digest, "engine", r.Runner, "cleared", r.Cleared,
			"from", from, "held", quarantined, "for", left)
	}
	s.Metrics.GetOrCreateCounter("sardinetiller_suspected_total").Add(len(newReports))
	return newReports
}

// publishCrashReports publishes and stores crash reports that were observed here or come
// from another failure domain, whose rows are not read here. Reports from a peer of this
// domain or from the table reach the other instances directly; if each instance relayed
// them, one crash would cost a number of messages quadratic in the number of instances.
func (s *Server) publishCrashReports(reports []quarantiner.CrashReport) {
	if len(reports) == 0 {
		return
	}
	s.quarantine.scheduleReports(reports)
	s.storeCrashReports(reports)
	go s.sendCrashReports(context.Background(), time.Now())
}

// scheduleReports schedules crash reports for the next heartbeats.
func (q *quarantine) scheduleReports(reports []quarantiner.CrashReport) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if q.repeatedSince == nil {
		q.repeatedSince = make(map[quarantiner.Crash]time.Time)
	}
	for _, r := range reports {
		q.repeatedSince[r.Crash()] = time.Now()
	}
}

// scheduledReports returns the crash reports to send now.
func (q *quarantine) scheduledReports(now time.Time) []quarantiner.CrashReport {
	q.mu.Lock()
	defer q.mu.Unlock()
	var reports []quarantiner.CrashReport
	for c, since := range q.repeatedSince {
		report, ok := q.ledger.Report(c, now)
		if !ok || now.Sub(since) > crashReportRepeat {
			delete(q.repeatedSince, c)
			continue
		}
		reports = append(reports, report)
	}
	return reports
}

// sendCrashReports sends the scheduled crash reports to the instances that receive heartbeats.
func (s *Server) sendCrashReports(ctx context.Context, now time.Time) {
	for _, expired := range s.quarantine.ledger.Expire(now) {
		s.quarantine.queueRow(expired, true)
	}
	reports := s.quarantine.scheduledReports(now)
	if len(reports) == 0 {
		return
	}
	for _, peer := range append(s.peers(now), s.remotePeers(now)...) {
		go func() { _ = s.Mesh.Send(ctx, peer.Address, relayer.Crashes{Reports: reports}) }() // retried with the next heartbeat
	}
}
