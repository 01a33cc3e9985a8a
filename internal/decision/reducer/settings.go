package reducer

import "time"

// Settings holds the limits and intervals that a node's decisions use.
type Settings struct {
	// Policy names the algorithm by which the entry role chooses an upstream.
	Policy PolicyName
	// Sample is the number of candidate upstreams compared per choice.
	Sample int
	// ReportPeriod is the minimum age of a load report before a newer one replaces
	// it; zero accepts every report. Experiments use it to simulate stale reports.
	ReportPeriod time.Duration
	// ShortReserve is the fraction of an upstream's slots reserved for short work.
	ShortReserve float64
	// UsableShare is the fraction of an upstream's slots that attempts with an
	// objective may occupy, because many servers slow down when nearly full.
	UsableShare float64
	// LinkRate is the capacity of the VM's network link in bytes per second; zero
	// means unknown.
	LinkRate int64
	// QueuePerSlot limits the guard's queue to this many attempts per upstream slot.
	// Attempts with an objective are admitted by their expected completion instead.
	QueuePerSlot int
	// Warmup is the time over which the slots of a new upstream are opened linearly;
	// zero opens all of them at once.
	Warmup time.Duration
	// RetryShare is the number of retries that each call adds to the retry budgets.
	RetryShare float64
	// RetryBurst is the capacity, in retries, of the token bucket for an entry's unrouted
	// calls.
	RetryBurst float64
	// MaxRetries limits the retries of one call. Routed calls are limited by MaxAttempts of
	// their route instead.
	MaxRetries int
	// HedgeShare is the number of hedges, second attempts beside the first, that each request of
	// an idempotent route adds to the route's limit; zero turns hedging off.
	HedgeShare float64
	// KeyWindow is how long a home remembers an idempotency key.
	KeyWindow time.Duration
	// ClockSkew is the assumed maximum difference between the clocks of two VMs.
	ClockSkew time.Duration
	// MaxKeys limits the number of keys that a home remembers and, separately, of attempts
	// that a guard remembers. Settle requests for attempts that the guard does not know are
	// recorded up to twice this number.
	MaxKeys int
	// MaxAnswerBytes limits the total size, in bytes, of the answer bodies that a guard
	// stores for replay.
	MaxAnswerBytes int
	// ExchangePeriod is the mean interval between the exchanges that a node initiates.
	ExchangePeriod time.Duration
	// Retention is how long the platform's log keeps records, and how long a member is kept
	// after its last announcement. Zero means that members discover each other through a
	// directory, and directoryLifetime applies to members.
	Retention time.Duration
	// FreshAnswer is how long after an answer its upstream isn't probed.
	FreshAnswer time.Duration
	// ProbePeriod is the interval between probes of an upstream without recent answers;
	// it doubles with each consecutive failure, up to a limit.
	ProbePeriod time.Duration
	// ProbeWork is the estimated processing time of one probe at its upstream.
	ProbeWork time.Duration
	// ProbeWorkBudget limits the processing time that probes may cost an upstream per
	// second.
	ProbeWorkBudget time.Duration
	// ProbeBytesBudget limits the traffic of probes in bytes per second.
	ProbeBytesBudget int
	// CrossRegionBudget is the budget, in bytes per second, for the request and answer
	// bodies of attempts sent to other regions. Bodies are charged when an answer ends, so
	// traffic in flight can exceed it; while it is overdrawn, no attempts are sent there.
	CrossRegionBudget int64
	// MaxEjectedShare is the maximum fraction of a service's upstreams that may be
	// ejected at the same time.
	MaxEjectedShare float64
	// ReportNear is the minimum interval between load reports to the node's own region;
	// zero disables load reports.
	ReportNear time.Duration
	// ReportsPerSecond limits the load reports, one per peer, that the node sends to
	// its own region per second; zero means no limit.
	ReportsPerSecond int
	// ReportFar is the interval between load reports to other regions.
	ReportFar time.Duration
	// SharedRetries is the number of retries of routed calls that all entries together may
	// send to a service per SharedRetryWindow, in addition to those earned by RetryShare.
	SharedRetries int
	// SharedRetryWindow is the sliding window over which SharedRetries applies.
	SharedRetryWindow time.Duration
	// PlanWatchers is the number of nodes per region that watch the store for plans;
	// the others receive plans from their peers.
	PlanWatchers int
	// StopLinger is the minimum time for which a stopping node keeps serving calls, so
	// that its callers and peers learn of the stop before it exits.
	StopLinger time.Duration
	// StopOpen is how long a stopping node keeps admitting work to its upstream, which
	// keeps running when the node exits and whose slots would otherwise idle.
	StopOpen time.Duration
	// Quarantine is how long a request that crashed upstreams is refused.
	Quarantine time.Duration
	// Objective is the target fraction of good calls, against which burn rates are
	// computed.
	Objective float64
	// QuotaWindow is the window over which tenants' quotas are bounded; zero switches quotas off.
	QuotaWindow time.Duration
	// QuotaOverage and QuotaSlack are how far a tenant's requests in a window may exceed its quota:
	// a share of it, and a number of requests.
	QuotaOverage float64
	QuotaSlack   float64
	// StopAllowance is the time after which the process may be killed once it was asked to stop. A
	// stopping node accepts no call whose deadline is too late for it.
	StopAllowance time.Duration
}

// DefaultSettings returns the settings of a node without a settings file.
func DefaultSettings() Settings {
	return Settings{
		Policy:            PolicyExpectedCompletion,
		Sample:            3,
		ShortReserve:      0.5,
		UsableShare:       0.8,
		QueuePerSlot:      4,
		Warmup:            2 * time.Second,
		RetryShare:        0.08,
		RetryBurst:        10,
		MaxRetries:        2,
		KeyWindow:         10 * time.Minute,
		ClockSkew:         2 * time.Second,
		MaxKeys:           200_000,
		MaxAnswerBytes:    32 << 20,
		ExchangePeriod:    3 * time.Second,
		Retention:         time.Hour,
		FreshAnswer:       time.Second,
		ProbePeriod:       2 * time.Second,
		ProbeWork:         6 * time.Millisecond,
		ProbeWorkBudget:   10 * time.Millisecond,
		ProbeBytesBudget:  1024,
		CrossRegionBudget: 50 << 20,
		MaxEjectedShare:   0.34,
		ReportFar:         time.Second,
		ReportsPerSecond:  150,
		PlanWatchers:      2,
		SharedRetries:     64,
		SharedRetryWindow: 10 * time.Second,
		StopLinger:        time.Second,
		Quarantine:        10 * time.Minute,
		Objective:         0.999,
		StopAllowance:     10 * time.Minute,
	}
}
