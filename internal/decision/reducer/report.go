package reducer

import (
	"slices"
	"time"
)

const (
	// introductionTime is how long after a change the node's announcement travels
	// with every report: datagrams get lost.
	introductionTime = time.Second
	// introductionPeriod is how often the announcement travels when nothing changed.
	introductionPeriod = time.Second
	// farIntroductionPeriod is the same for other regions, whose nodes pass it on.
	farIntroductionPeriod = 3 * time.Second
	// quietReport is how often a report that says nothing new is sent, as a sign of life.
	quietReport = 400 * time.Millisecond
	// silentNear and silentFar are how long a peer may be silent before choices pass
	// it over: three signs of life, and one lost datagram from another region.
	silentNear = 3 * quietReport
	silentFar  = 3500 * time.Millisecond
)

// reporting is when this node tells its load to its peers.
type reporting struct {
	nearDue      time.Time
	quietDue     time.Time
	farDue       time.Time
	introduceDue time.Time
	// farIntroduceDue is when the announcement travels to other regions again.
	farIntroduceDue time.Time
	introduceUntil  time.Time
	told            LoadReport
}

// spread tells the own region at once what this node knows now.
func (r *Reducer) spread() {
	r.reporting.nearDue = r.now
	r.reporting.quietDue = r.now
}

// introduce tells every peer at once what this node announces.
func (r *Reducer) introduce() {
	r.reporting.introduceUntil = r.now.Add(introductionTime)
	r.reporting.farDue = r.now
	r.reporting.farIntroduceDue = r.now
	r.spread()
}

// report tells the load to the own region when it has changed, and to other regions
// more seldom.
func (r *Reducer) report() {
	if r.Settings.ReportNear <= 0 {
		return
	}
	t := &r.reporting
	load := r.loadReport()
	changed := load != t.told
	if !r.now.Before(t.quietDue) || (changed && !r.now.Before(t.nearDue)) {
		near := r.nearAddresses()
		t.told = load
		t.nearDue = r.now.Add(r.nearPeriod(len(near)))
		t.quietDue = r.now.Add(quietReport)
		members := r.introduction()
		if len(near) > 0 {
			r.emit(TellLoad{Addresses: near, Digest: r.loadDigest(), Members: members})
		}
	}
	if !r.now.Before(t.farDue) {
		t.farDue = r.now.Add(r.Settings.ReportFar)
		if r.now.Before(t.introduceUntil) {
			t.farDue = r.now.Add(introductionTime / 4)
		}
		r.tellOtherRegions()
	}
}

// farReceivers is how many nodes of another region get a report while a change is told:
// one of them may be gone. Otherwise one does.
const farReceivers = 2

// tellOtherRegions reports to a few nodes of each other region, which pass the report on
// to theirs: bytes between regions are paid for, and must not grow with the fleet's square.
func (r *Reducer) tellOtherRegions() {
	addresses := r.farAddresses()
	if len(addresses) == 0 {
		return
	}
	tell := TellLoad{Addresses: addresses, Digest: r.loadDigest()}
	if r.now.Before(r.reporting.introduceUntil) || !r.now.Before(r.reporting.farIntroduceDue) {
		r.reporting.farIntroduceDue = r.now.Add(farIntroductionPeriod)
		tell.Members = []Member{r.members.self}
	}
	r.emit(tell)
}

// farAddresses picks the nodes of each other region that get the next report: random ones
// of those that were heard lately, or of all where none was.
func (r *Reducer) farAddresses() []string {
	receivers := 1
	if r.now.Before(r.reporting.introduceUntil) {
		receivers = farReceivers
	}
	names, heard, silent := r.farNodes()
	var addresses []string
	for _, name := range names {
		known := heard[name]
		if len(known) == 0 {
			known = silent[name]
		}
		first := r.random.IntN(len(known))
		for i := range min(receivers, len(known)) {
			addresses = append(addresses, known[(first+i)%len(known)])
		}
	}
	return addresses
}

// farNodes returns the other regions' names and, by region, the addresses of the nodes
// that were heard lately and of those that were not.
func (r *Reducer) farNodes() (names []string, heard, silent map[string][]string) {
	heard = map[string][]string{}
	silent = map[string][]string{}
	for _, p := range r.members.order {
		if p.tier != tierOther || p.member.Leaving() {
			continue
		}
		region := p.member.Region()
		if !slices.Contains(names, region) {
			names = append(names, region)
		}
		if r.heardLately(p) {
			heard[region] = append(heard[region], p.member.spec.Address)
		} else {
			silent[region] = append(silent[region], p.member.spec.Address)
		}
	}
	return names, heard, silent
}

// passOn gives a report that came straight from another region to the own one. What was
// passed on comes from another address than the peer's, and goes no further.
func (r *Reducer) passOn(e LoadHeard, p *peer) {
	if p.tier != tierOther || e.From != p.member.spec.Address {
		return
	}
	if near := r.nearAddresses(); len(near) > 0 {
		r.emit(TellLoad{Addresses: near, Digest: e.Digest, Members: e.Members})
	}
}

func (r *Reducer) nearAddresses() []string {
	var addresses []string
	for _, p := range r.members.order {
		if p.near() {
			addresses = append(addresses, p.member.spec.Address)
		}
	}
	return addresses
}

// nearPeriod is the time between two reports to the own region: the more peers it has,
// the longer, so that reports stay within their bound.
func (r *Reducer) nearPeriod(peers int) time.Duration {
	period := r.Settings.ReportNear
	if r.Settings.ReportsPerSecond <= 0 {
		return period
	}
	return max(period, time.Duration(peers)*time.Second/time.Duration(r.Settings.ReportsPerSecond))
}

// introduction returns this node's announcement when it is due with a report.
func (r *Reducer) introduction() []Member {
	t := &r.reporting
	if r.now.Before(t.introduceUntil) || !r.now.Before(t.introduceDue) {
		t.introduceDue = r.now.Add(introductionPeriod)
		return []Member{r.members.self}
	}
	return nil
}

// loadDigest is the part of a digest that a report carries.
func (r *Reducer) loadDigest() Digest {
	return Digest{
		Address: r.Self.Address, Incarnation: r.Self.Incarnation, PlanOffset: r.inForce.offset, Load: r.loadReport(),
		PlansReachable: r.plansReachable,
	}
}

// loadHeard takes a peer's report.
func (r *Reducer) loadHeard(e LoadHeard) {
	known := r.members.peers[e.Digest.Address]
	for _, m := range e.Members {
		r.introduced(m)
	}
	p := r.members.peers[e.Digest.Address]
	if p == nil || p.tier == tierSelf || p.member.ID().Incarnation() != e.Digest.Incarnation {
		return
	}
	if known != p && len(e.Members) > 0 && e.From == e.Digest.Address {
		// The peer is new, and may know as little of this node.
		r.emit(TellLoad{Addresses: []string{e.Digest.Address}, Digest: r.loadDigest(), Members: []Member{r.members.self}})
	}
	if r.now.After(p.heardAt) {
		p.heardAt = r.now
	}
	p.plansReachable = e.Digest.PlansReachable
	p.reachable()
	if !e.Digest.Load.IsZero() {
		p.reported(e.Digest.Load, r.now, 0)
	}
	r.askForPlan(p, e.Digest.PlanOffset)
	r.passOn(e, p)
}

// crossingReport is how late a report of an earlier process at an address may arrive.
const crossingReport = 300 * time.Millisecond

// introduced takes a process's own announcement. Its word on its address goes before
// the order of start times, which clocks that were set may turn round.
func (r *Reducer) introduced(m Member) {
	known := r.members.peers[m.ID().Address()]
	if known == nil || known.tier == tierSelf || known.member.ID() == m.ID() || m.supersedes(known.member) {
		if known != nil && known.tier != tierSelf {
			known.heardAt = time.Time{}
		}
		r.heardMember(m)
		return
	}
	if r.now.Sub(known.heardAt) > crossingReport {
		r.members.remove(known)
		r.members.merge(m, r.index, r.now, r.memberLifetime())
	}
}

// heardLately reports whether a peer has told of itself lately.
func (r *Reducer) heardLately(p *peer) bool {
	if r.Settings.ReportNear <= 0 {
		return true
	}
	limit := silentNear
	if p.tier == tierOther {
		limit = silentFar
	}
	return r.now.Sub(p.heardAt) < limit
}

// membersListed takes what a directory holds. Its entries only name peers: what they
// do now is theirs to tell.
func (r *Reducer) membersListed(e MembersListed) {
	for _, m := range e.Members {
		if r.members.peers[m.ID().Address()] == nil {
			r.heardMember(m)
			r.introduce()
		}
	}
}
