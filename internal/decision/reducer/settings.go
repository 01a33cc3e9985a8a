package reducer

import "time"

// Settings are the limits and intervals of a node's decisions.
type Settings struct {
	// Policy names how an entry chooses upstreams.
	Policy PolicyName
	// Sample is how many upstreams a choice compares.
	Sample int
	// ReportPeriod is how long a load report is kept before a newer one is taken;
	// zero takes every one. Experiments make reports stale with it.
	ReportPeriod time.Duration
	// ShortReserve is the share of an upstream's slots that long work never takes.
	ShortReserve float64
	// UsableShare is the share of an upstream's slots that attempts with an objective
	// hold: many servers slow down when they are nearly full.
	UsableShare float64
	// LinkRate is how many bytes the VM's link carries in a second; zero is unknown.
	LinkRate int64
	// QueuePerSlot bounds the guard's queue.
	QueuePerSlot int
	// Warmup is how long a new upstream takes to open all its slots.
	Warmup time.Duration
	// RetryShare is how many retries a call earns.
	RetryShare float64
	// RetryBurst bounds the saved retries.
	RetryBurst float64
	// MaxRetries bounds the retries of one call.
	MaxRetries int
	// KeyWindow is how long the memory of a key is kept.
	KeyWindow time.Duration
	// ClockSkew bounds the difference between two VMs' clocks.
	ClockSkew time.Duration
	// MaxKeys bounds the keys that a home remembers.
	MaxKeys int
	// MaxAnswerBytes bounds the stored answers of a guard.
	MaxAnswerBytes int
	// ExchangePeriod is the mean time between two exchanges that a node begins.
	ExchangePeriod time.Duration
	// Retention is how long the platform's log keeps records; zero tells that members
	// find each other in a directory, which keeps them.
	Retention time.Duration
	// FreshAnswer is how long an answer spares its upstream a probe.
	FreshAnswer time.Duration
	// ProbePeriod is the time between two probes of a silent upstream.
	ProbePeriod time.Duration
	// ProbeWork is the work that one probe costs its upstream.
	ProbeWork time.Duration
	// ProbeWorkBudget is the work that probes may cost an upstream in a second.
	ProbeWorkBudget time.Duration
	// ProbeBytesBudget is the bytes that probes may cost in a second.
	ProbeBytesBudget int
	// CrossRegionBudget is the bytes of calls that a node sends to other
	// regions in a second.
	CrossRegionBudget int64
	// MaxEjectedShare is the largest share of a service that is ejected.
	MaxEjectedShare float64
	// ReportNear is the shortest time between two load reports to the own region;
	// zero sends none.
	ReportNear time.Duration
	// ReportsPerSecond bounds the load reports that the node sends to its own region in
	// a second, one to each peer; zero sets no bound.
	ReportsPerSecond int
	// ReportFar is the time between two load reports to other regions.
	ReportFar time.Duration
	// SharedRetries is the fixed number of retries that all entries together may send
	// to a service in a window.
	SharedRetries int
	// SharedRetryWindow is the window of SharedRetries.
	SharedRetryWindow time.Duration
	// PlanWatchers is how many nodes of each region wait for plans at the store; the
	// others learn of them from their peers.
	PlanWatchers int
	// StopLinger is how long a stopping node goes on serving its callers before it
	// exits, so that those who send it work learn of the stop.
	StopLinger time.Duration
	// StopOpen is how long a stopping node goes on taking work for its upstream, which
	// lives on.
	StopOpen time.Duration
	// Quarantine is how long a request that crashes upstreams is refused.
	Quarantine time.Duration
	// Objective is the share of calls that should be answered in time.
	Objective float64
	// StopAllowance bounds a graceful stop.
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
