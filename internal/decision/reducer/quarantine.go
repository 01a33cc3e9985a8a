package reducer

import (
	"maps"
	"slices"
	"strconv"
	"time"
)

const (
	quarantineCrashes = 2
	maxSuspects       = 1024
)

// Suspect is a request that was in flight when upstreams died.
type Suspect struct {
	Fingerprint uint64
	// Crashes counts the upstreams that died, by the node beside each.
	Crashes []uint64
	Expires time.Time
}

// suspects is a bounded memory of requests that crash upstreams.
type suspects struct {
	known map[uint64]*Suspect
	order []uint64
}

func (s *suspects) init() { s.known = map[uint64]*Suspect{} }

// quarantined reports whether a request has crashed too many upstreams.
func (s *suspects) quarantined(fingerprint uint64) bool {
	if fingerprint == 0 || len(s.known) == 0 {
		return false
	}
	suspect := s.known[fingerprint]
	return suspect != nil && len(suspect.Crashes) >= quarantineCrashes
}

// merge adds crashes of a request.
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
	for _, crash := range heard.Crashes {
		if !slices.Contains(suspect.Crashes, crash) && len(suspect.Crashes) < 2*quarantineCrashes {
			suspect.Crashes = append(suspect.Crashes, crash)
		}
	}
	if heard.Expires.After(suspect.Expires) {
		suspect.Expires = heard.Expires
	}
}

func (s *suspects) expire(now time.Time) {
	s.order = slices.DeleteFunc(s.order, func(f uint64) bool {
		if now.Before(s.known[f].Expires) {
			return false
		}
		delete(s.known, f)
		return true
	})
}

// list returns the newest suspects, enough for one exchange.
func (s *suspects) list() []Suspect {
	const perExchange = 16
	var list []Suspect
	for _, f := range s.order[max(0, len(s.order)-perExchange):] {
		list = append(list, *s.known[f])
	}
	return list
}

// upstreamDied suspects every request that was in flight at the upstream.
func (r *Reducer) upstreamDied() {
	g := &r.guard
	if g.dead {
		return
	}
	g.dead = true
	r.counts.UpstreamDeaths++
	r.sequence++
	g.crash = max(1, r.Self.Incarnation^r.sequence<<32)
	for _, id := range slices.Sorted(maps.Keys(g.works)) {
		w := g.works[id]
		if w.running && w.fingerprint != 0 {
			r.suspect(w.fingerprint, g.crash)
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

// Crash names the crash of the upstream while it is gone, or is zero.
func (r *Reducer) Crash() uint64 {
	if r.guard.dead {
		return r.guard.crash
	}
	return 0
}

// noteCrash suspects a request that was in flight when an upstream died.
func (r *Reducer) noteCrash(fingerprint, crash uint64) {
	if fingerprint == 0 || crash == 0 {
		return
	}
	r.suspects.merge(Suspect{
		Fingerprint: fingerprint, Crashes: []uint64{crash}, Expires: r.now.Add(r.Settings.Quarantine),
	})
}

// suspect notes a crash and tells the nodes beside the service's other upstreams
// at once.
func (r *Reducer) suspect(fingerprint, crash uint64) {
	r.noteCrash(fingerprint, crash)
	r.note(Decided{Kind: DecidedQuarantined, Reason: strconv.FormatUint(fingerprint, 16), Service: r.guard.service, Plan: r.inForce.offset})
	told := *r.suspects.known[fingerprint]
	service := r.members.services[r.guard.service]
	if service == nil {
		return
	}
	for _, p := range service.all {
		if p.tier != tierSelf {
			r.emit(TellSuspect{Address: p.member.ID().Address(), Suspect: told})
		}
	}
}

func (r *Reducer) suspectHeard(s Suspect) {
	limit := r.now.Add(r.Settings.Quarantine)
	if s.Expires.After(limit) {
		s.Expires = limit
	}
	r.suspects.merge(s)
}
