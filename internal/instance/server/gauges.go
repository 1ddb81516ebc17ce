package server

import "time"

// registerGauges registers the metrics that are computed when they are scraped. Counters
// are registered where they are incremented.
func (s *Server) registerGauges() {
	for name, read := range map[string]func() float64{
		"sardinetiller_blocked_slots": func() float64 {
			blocked, _ := s.Driver.Blocked()
			return float64(blocked)
		},
		"sardinetiller_claims_owed": func() float64 { return float64(s.Claimer.PendingWithdrawals()) },
		"sardinetiller_epoch":       func() float64 { return float64(s.epoch()) },
		"sardinetiller_frames_dropped": func() float64 {
			stale, _ := s.Mesh.Dropped()
			return float64(stale)
		},
		"sardinetiller_frame_gaps": func() float64 {
			_, gaps := s.Mesh.Dropped()
			return float64(gaps)
		},
		"sardinetiller_lease_valid": func() float64 {
			s.mu.Lock()
			defer s.mu.Unlock()
			return boolGauge(s.Holder.Valid(time.Now()))
		},
		"sardinetiller_load_line":         func() float64 { return float64(s.Driver.LoadQueueLen()) },
		"sardinetiller_peer_bytes":        func() float64 { return float64(s.Mesh.Bytes()) },
		"sardinetiller_platform_away":     func() float64 { return boolGauge(s.tableFailedAt.Load() != 0) },
		"sardinetiller_settings_revision": func() float64 { return float64(s.Watcher.Revision()) },
	} {
		s.Metrics.NewGauge(name, read)
	}
}

func boolGauge(b bool) float64 {
	if b {
		return 1
	}
	return 0
}
