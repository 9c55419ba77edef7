package agentapi

// State is the agent's response to the method "state".
type State struct {
	Name              string       `json:"name"`
	Zone              string       `json:"zone"`
	Log               string       `json:"record"` // status of the replicated log: "on", or why it is off
	Index             uint64       `json:"index"`  // index of the last log entry known to this member
	Hash              string       `json:"hash"`   // hash of the chain of entries up to Index
	Role              string       `json:"role"`
	Leader            string       `json:"leader"`
	WithinLease       bool         `json:"fresh"`    // the last contact with the leader is within the lease
	LastContactMillis int64        `json:"heard_ms"` // time since last contact with the leader; -1 for never
	DiskError         string       `json:"disk"`
	ZonesVersion      uint64       `json:"version"` // version of the zone statuses
	RejectedShare     float64      `json:"over"`    // share of first arrivals that are rejected immediately
	ZoneStatuses      []ZoneStatus `json:"zones"`   // according to the log; a missing pair is active
	ZoneLimits        []ZoneLimit  `json:"bounds"`  // current limits of this member's node
	Members           []Member     `json:"members"`
}

// ZoneStatus is the status of a zone from the point of view of an observing zone.
type ZoneStatus struct {
	ObservingZone   string  `json:"from"`
	Zone            string  `json:"to"`
	Status          string  `json:"posture"`
	Share           float64 `json:"share"`           // draws of Zone that ObservingZone keeps, 0 to 1
	Step            int     `json:"step,omitempty"`  // step of a recovery, from 1
	Rate            float64 `json:"rate,omitempty"`  // set-ups per second of the fleet during a recovery
	ChangedAtMillis int64   `json:"since"`           // Unix time
	RetryAtMillis   int64   `json:"until,omitempty"` // Unix time before which no recovery is attempted
	Failures        int     `json:"fails,omitempty"` // number of recent evacuations
}

// ZoneLimit limits a node's sessions to a zone.
type ZoneLimit struct {
	Zone  string  `json:"zone"`
	Share float64 `json:"share"`
	Rate  float64 `json:"rate,omitempty"` // set-ups per second; 0 for no limit
}

// Member describes a member of the fleet according to the member that responds.
type Member struct {
	Name             string `json:"name"`
	Zone             string `json:"zone"`
	Status           string `json:"status"`
	LogAddr          string `json:"record,omitempty"` // address on which it serves the replicated log
	Index            uint64 `json:"index"`
	ReportedAtMillis int64  `json:"at"` // Unix time of its last report, by its own clock
}
