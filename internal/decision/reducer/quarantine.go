package reducer

import (
	"maps"
	"slices"
	"strconv"
	"time"
)

const (
	// quarantineCrashes is the number of distinct crashes that quarantine a request.
	quarantineCrashes = 2
	// maxSuspects limits the remembered suspects, to bound memory; the oldest is dropped.
	maxSuspects = 1024
)

// Suspect holds the crashes during which a request was in flight.
type Suspect struct {
	// Fingerprint identifies the request.
	Fingerprint uint64
	// CrashIDs holds the IDs of the distinct crashes; see Reducer.CrashID.
	CrashIDs []uint64
	// Expires is when the suspect is forgotten.
	Expires time.Time
}

// suspects holds a bounded number of requests that may crash upstreams.
type suspects struct {
	// known maps fingerprints to suspects.
	known map[uint64]*Suspect
	// order holds the fingerprints from oldest to newest.
	order []uint64
}

func (s *suspects) init() { s.known = map[uint64]*Suspect{} }

// quarantined reports whether a request has crashed too many upstreams.
func (s *suspects) quarantined(fingerprint uint64) bool {
	if fingerprint == 0 || len(s.known) == 0 {
		return false
	}
	suspect := s.known[fingerprint]
	return suspect != nil && len(suspect.CrashIDs) >= quarantineCrashes
}

// merge adds the crashes of a request and extends its expiry. It keeps at most twice as many
// crashes as quarantine a request.
func (s *suspects) merge(heard Suspect) {
	suspect := s.known[heard.Fingerprint]
	if suspect == nil {
		if len(s.order) == maxSuspects {
			delete(s.known, s.order[0])
			s.order = slices.Delete(s.order, 0, 1)
		}
		suspect = &Suspect{Fingerprint: heard.Fingerprint}
		s.known[heard.Fingerprint] = suspect
		s.order = append(s.order, heard.Fingerprint)
	}
	for _, crash := range heard.CrashIDs {
		if !slices.Contains(suspect.CrashIDs, crash) && len(suspect.CrashIDs) < 2*quarantineCrashes {
			suspect.CrashIDs = append(suspect.CrashIDs, crash)
		}
	}
	if heard.Expires.After(suspect.Expires) {
		suspect.Expires = heard.Expires
	}
}

// expire removes the suspects whose expiry has passed.
func (s *suspects) expire(now time.Time) {
	s.order = slices.DeleteFunc(s.order, func(f uint64) bool {
		if now.Before(s.known[f].Expires) {
			return false
		}
		delete(s.known, f)
		return true
	})
}

// newest returns the newest suspects, limited to the size of one exchange with a peer.
func (s *suspects) newest() []Suspect {
	const perExchange = 16
	var newest []Suspect
	for _, f := range s.order[max(0, len(s.order)-perExchange):] {
		newest = append(newest, *s.known[f])
	}
	return newest
}

// upstreamDied marks every request in flight at the upstream as a suspect and refuses all
// queued attempts.
func (r *Reducer) upstreamDied() {
	g := &r.guard
	if g.upstreamDown {
		return
	}
	g.upstreamDown = true
	r.counts.UpstreamDeaths++
	r.sequence++
	// The ID differs between processes and crashes; zero stands for no crash.
	g.crash = max(1, r.Self.Incarnation^r.sequence<<32)
	for _, id := range slices.Sorted(maps.Keys(g.attempts)) {
		w := g.attempts[id]
		if w.running && w.fingerprint != 0 {
			r.announceSuspect(w.fingerprint, g.crash)
		}
	}
	for _, q := range []*workQueue{&g.short, &g.long} {
		for _, w := range slices.Clone(q.works) {
			r.dropQueued(w, RefusalNoUpstream)
		}
	}
	r.refuseAdmitted(RefusalNoUpstream)
	r.announceSelf()
}

// CrashID returns the ID of the upstream's crash while the upstream is down, or zero.
func (r *Reducer) CrashID() uint64 {
	if r.guard.upstreamDown {
		return r.guard.crash
	}
	return 0
}

// addSuspect marks a request as a suspect that was in flight during a crash.
func (r *Reducer) addSuspect(fingerprint, crash uint64) {
	if fingerprint == 0 || crash == 0 {
		return
	}
	r.suspects.merge(Suspect{
		Fingerprint: fingerprint, CrashIDs: []uint64{crash}, Expires: r.now.Add(r.Settings.Quarantine),
	})
}

// announceSuspect marks a request as a suspect and immediately notifies the nodes of the service's
// other upstreams.
func (r *Reducer) announceSuspect(fingerprint, crash uint64) {
	r.addSuspect(fingerprint, crash)
	r.noteDecision(Decision{Kind: DecisionRequestSuspected, Reason: strconv.FormatUint(fingerprint, 16), Service: r.guard.service, Plan: r.planInForce.offset})
	told := *r.suspects.known[fingerprint]
	service := r.members.services[r.guard.service]
	if service == nil {
		return
	}
	for _, p := range service.all {
		if p.tier != tierSelf {
			r.emit(SendSuspect{Address: p.member.ID().Address(), Suspect: told})
		}
	}
}

// suspectHeard merges a suspect that a peer sent. Its expiry is limited to one quarantine
// period from now.
func (r *Reducer) suspectHeard(s Suspect) {
	limit := r.now.Add(r.Settings.Quarantine)
	if s.Expires.After(limit) {
		s.Expires = limit
	}
	r.suspects.merge(s)
}
