package zonestatus

// Guards selects checks to disable. Mutations set them, so that a scenario can show that it
// detects the missing check. All are false in production.
type Guards struct {
	PanicThreshold       bool // evacuate regardless of how few zones remain
	RecoveryRamp         bool // recover at once, without evidence or rate limit
	ReporterConnectivity bool // accept reports of members that reach hardly any zone
	HoldDown             bool // do not hold back zones that fail repeatedly
	ObservingZone        bool // apply what one zone observes to all zones
	Quorum               bool // accept the report of a single member
}
