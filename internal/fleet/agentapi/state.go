package agentapi

// State is an agent's answer to the method "state".
type State struct {
	Name              string       `json:"name"`
	Zone              string       `json:"zone"`
	Log               string       `json:"record"` // of the replicated log: "on", or why it is off
	Index             uint64       `json:"index"`  // of the last log entry that this member knows
	Hash              string       `json:"hash"`   // of the chain of entries up to it
	Role              string       `json:"role"`
	Leader            string       `json:"leader"`
	WithinLease       bool         `json:"fresh"`    // it has heard from the leader within its lease
	LastContactMillis int64        `json:"heard_ms"` // since it heard from the leader; -1 for never
	DiskError         string       `json:"disk"`
	ZonesVersion      uint64       `json:"version"` // of the zones' statuses
	RejectedShare     float64      `json:"over"`    // of first arrivals, the share that is rejected at once
	ZoneStatuses      []ZoneStatus `json:"zones"`   // as the log has them; a pair that is missing is active
	ZoneLimits        []ZoneLimit  `json:"bounds"`  // that this member's node has now
	Members           []Member     `json:"members"`
}

// ZoneStatus is the status of a zone as seen from another.
type ZoneStatus struct {
	ObservingZone   string  `json:"from"`
	Zone            string  `json:"to"`
	Status          string  `json:"posture"`
	Share           float64 `json:"share"`           // of the draws of Zone that ObservingZone keeps, 0 to 1
	Step            int     `json:"step,omitempty"`  // of a recovery, from 1
	Rate            float64 `json:"rate,omitempty"`  // set-ups a second of the whole fleet during a recovery
	ChangedAtMillis int64   `json:"since"`           // Unix time
	RetryAtMillis   int64   `json:"until,omitempty"` // Unix time: no recovery is tried before
	Failures        int     `json:"fails,omitempty"` // recent evacuations
}

// ZoneLimit is what limits a node's sessions to a zone.
type ZoneLimit struct {
	Zone  string  `json:"zone"`
	Share float64 `json:"share"`
	Rate  float64 `json:"rate,omitempty"` // set-ups a second; 0 for no bound
}

// Member is a member of the fleet as this one knows it.
type Member struct {
	Name             string `json:"name"`
	Zone             string `json:"zone"`
	Status           string `json:"status"`
	LogAddr          string `json:"record,omitempty"` // where it serves the replicated log
	Index            uint64 `json:"index"`
	ReportedAtMillis int64  `json:"at"` // Unix time of its last report, by its clock
}
