package zonestatus

// Guards names the checks that a mutation can switch off, so that a scenario shows that it
// would notice. All false in service.
type Guards struct {
	PanicThreshold       bool // evacuate however few zones remain
	RecoveryRamp         bool // recover at once, without evidence or rate limit
	ReporterConnectivity bool // believe members that reach hardly any zone
	HoldDown             bool // hold back nothing that fails again
	ObservingZone        bool // what one zone observes holds for all
	Quorum               bool // one member's report is enough
}
