package planlint

// Types of the entries of a configuration.
const (
	TypeConfiguration = "configuration"
	TypeRoute         = "routes"
	TypeService       = "services"
	TypeTenant        = "tenants"
	TypeLimits        = "limits"
)

// Fields by the names that they have in an encoded plan.
const (
	fieldVersion = "version"

	fieldHost        = "host"
	fieldPrefix      = "prefix"
	fieldTimeout     = "timeout"
	fieldObjective   = "objective"
	fieldService     = "service"
	fieldSplit       = "services"
	fieldMaxAttempts = "max_attempts"
	fieldOpen        = "open"
	fieldPriority    = "priority"
	fieldRegions     = "regions"

	fieldRate  = "rate_per_second"
	fieldBurst = "burst"

	fieldHealthPath     = "health_path"
	fieldMaxConnections = "max_connections"
	fieldWarmup         = "warmup"
	fieldWarmupRate     = "warmup_rate"

	fieldBodyBytes     = "body_bytes"
	fieldHeaderBytes   = "header_bytes"
	fieldHeaderTimeout = "header_timeout"
	fieldIdleTimeout   = "idle_timeout"
)

const (
	fieldKind = "kind"
	fieldKeys = "key_digests"
)
