package agentapi

// State is an agent's answer to the ask "state".
type State struct {
	Name              string       `json:"name"`
	Zone              string       `json:"zone"`
	Log               string       `json:"record"` // on, off, or why it is not kept
	Index             uint64       `json:"index"`  // of the last entry that this member knows
	Hash              string       `json:"hash"`   // of the chain up to it
	Role              string       `json:"role"`
	Leader            string       `json:"leader"`
	WithinLease       bool         `json:"fresh"`    // it has heard within the lease
	LastContactMillis int64        `json:"heard_ms"` // how long ago; -1 for never
	DiskError         string       `json:"disk"`     // what is wrong with it
	ZonesVersion      uint64       `json:"version"`  // of the zones' postures
	RejectedShare     float64      `json:"over"`     // share of first arrivals that is refused at once
	ZoneStatuses      []ZoneStatus `json:"zones"`    // as the record has them; what is not named is open
	ZoneLimits        []ZoneLimit  `json:"bounds"`   // that this member's node is told now
	Members           []Member     `json:"members"`
}

// Seen is the posture of a zone as seen from another.
type ZoneStatus struct {
	ObservingZone   string  `json:"from"`
	Zone            string  `json:"to"`
	Status          string  `json:"posture"`
	Share           float64 `json:"share"`
	Step            int     `json:"step,omitempty"`
	Rate            float64 `json:"rate,omitempty"`
	ChangedAtMillis int64   `json:"since"` // Unix ms
	RetryAtMillis   int64   `json:"until,omitempty"`
	Failures        int     `json:"fails,omitempty"`
}

// Bound is what a node is told of a zone.
type ZoneLimit struct {
	Zone  string  `json:"zone"`
	Share float64 `json:"share"`
	Rate  float64 `json:"rate,omitempty"`
}

// Peer is a member as this one knows it.
type Member struct {
	Name             string `json:"name"`
	Zone             string `json:"zone"`
	Status           string `json:"status"`
	LogAddr          string `json:"record,omitempty"` // where it serves the record
	Index            uint64 `json:"index"`
	ReportedAtMillis int64  `json:"at"` // Unix ms of its last word, by its clock
}
