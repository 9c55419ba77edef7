package agentapi

// State is an agent's answer to the ask "state".
type State struct {
	Name     string  `json:"name"`
	Zone     string  `json:"zone"`
	Record   string  `json:"record"` // on, off, or why it is not kept
	Index    uint64  `json:"index"`  // of the last entry that this member knows
	Hash     string  `json:"hash"`   // of the chain up to it
	Role     string  `json:"role"`
	Leader   string  `json:"leader"`
	Fresh    bool    `json:"fresh"`    // it has heard within the lease
	Heard    int64   `json:"heard_ms"` // how long ago; -1 for never
	Disk     string  `json:"disk"`     // what is wrong with it
	Version  uint64  `json:"version"`  // of the zones' postures
	Over     float64 `json:"over"`     // share of first arrivals that is refused at once
	Postures []Seen  `json:"zones"`    // as the record has them; what is not named is open
	Bounds   []Bound `json:"bounds"`   // that this member's node is told now
	Members  []Peer  `json:"members"`
}

// Seen is the posture of a zone as seen from another.
type Seen struct {
	From    string  `json:"from"`
	To      string  `json:"to"`
	Posture string  `json:"posture"`
	Share   float64 `json:"share"`
	Step    int     `json:"step,omitempty"`
	Rate    float64 `json:"rate,omitempty"`
	Since   int64   `json:"since"` // Unix ms
	Until   int64   `json:"until,omitempty"`
	Fails   int     `json:"fails,omitempty"`
}

// Bound is what a node is told of a zone.
type Bound struct {
	Zone  string  `json:"zone"`
	Share float64 `json:"share"`
	Rate  float64 `json:"rate,omitempty"`
}

// Peer is a member as this one knows it.
type Peer struct {
	Name   string `json:"name"`
	Zone   string `json:"zone"`
	Status string `json:"status"`
	Record string `json:"record,omitempty"` // where it serves the record
	Index  uint64 `json:"index"`
	At     int64  `json:"at"` // Unix ms of its last word, by its clock
}
