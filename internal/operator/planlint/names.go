package planlint

// Resource types as in the configuration that operators write.
const (
	TypeConfiguration = "configuration"
	TypeRoute         = "routes"
	TypeService       = "services"
	TypeTenant        = "tenants"
	TypeLimits        = "limits"
)

// Fields as in the configuration that operators write.
const (
	fieldVersion = "version"

	fieldHost        = "host"
	fieldPrefix      = "pathPrefix"
	fieldTimeout     = "timeout"
	fieldObjective   = "targetLatency"
	fieldService     = "service"
	fieldSplit       = "trafficSplit"
	fieldMaxAttempts = "maxAttempts"
	fieldOpen        = "noAuth"
	fieldPriority    = "priority"
	fieldRegions     = "allowedRegions"

	fieldRate  = "ratePerS"
	fieldBurst = "burst"

	fieldHealthPath     = "healthPath"
	fieldMaxConnections = "maxConnections"
	fieldWarmup         = "warmup"
	fieldWarmupRate     = "warmupPerS"

	fieldBodyBytes     = "maxBodyBytes"
	fieldHeaderBytes   = "maxHeaderBytes"
	fieldHeaderTimeout = "headerTimeout"
	fieldIdleTimeout   = "idleTimeout"
)

// Fields that the reader of the configuration checks, too.
const (
	FieldKind = "kind"
	FieldKeys = "apiKeys"
)
