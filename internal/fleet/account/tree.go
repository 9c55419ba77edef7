package account

// Limits contains the maximum usage of an account, a team or a route in the whole fleet. A negative
// value is unlimited; 0 allows nothing.
type Limits struct {
	Connections float64 `json:"open"`    // established at the same time
	SetupRate   float64 `json:"rate"`    // session set-ups per second
	RetryRate   float64 `json:"retries"` // retries per second
	ProbeRate   float64 `json:"probes"`  // probes per second
	Routes      int     `json:"routes"`  // in the whole subtree
	Teams       int     `json:"teams"`   // in the whole subtree
}

// Match selects the sessions of a route. An empty field matches all sessions.
type Match struct {
	Class     string  `json:"class,omitempty"`
	Tenant    string  `json:"tenant,omitempty"` // the realm, if the settings define it
	Group     string  `json:"group,omitempty"`  // key of one group
	HashFrom  float64 `json:"from,omitempty"`   // start of a range of the group's hash, scaled to [0, 1)
	HashTo    float64 `json:"to,omitempty"`     // end of the range, exclusive; 0 and 0 for all hashes
	Returning *bool   `json:"returned,omitempty"`
	Retry     *bool   `json:"retry,omitempty"`
}

// ZoneShare is a zone or region that a route may use, and its share of the route's sessions.
type ZoneShare struct {
	Zone    string  `json:"zone"`
	Percent float64 `json:"percent"`
}

// Route determines the zones, limits and contract of the sessions that match it.
type Route struct {
	Name       string      `json:"name"` // unique within its owner
	Owner      string      `json:"owner"`
	Match      Match       `json:"match"`
	ZoneShares []ZoneShare `json:"parts,omitempty"` // empty for all zones that the owner may use
	Limits     Limits      `json:"limits"`
	Contract   string      `json:"contract,omitempty"`
	Priority   int         `json:"priority,omitempty"` // ShrinkByPriority reduces highest values first
	Version    uint64      `json:"version,omitempty"`  // State.Version at its last change
}

// Path returns the name of the route in limits, contracts and usage: owner, colon, name.
func (r *Route) Path() string { return r.Owner + ":" + r.Name }

// Scope restricts the zones that an account or a team may use, and the sessions that its routes may
// match. An empty list is inherited from the parent; it allows everything if no ancestor has a list.
type Scope struct {
	Zones   []string `json:"zones,omitempty"`   // zones and regions
	Tenants []string `json:"tenants,omitempty"` // a route must match one of these tenants
	Classes []string `json:"classes,omitempty"` // a route must match one of these classes
}

// Node is an account or a team. Its versions are values of State.Version.
type Node struct {
	Limits Limits `json:"limits"`
	// Overcommit is the factor on Limits that gives the maximum sum of the children's limits. It is at
	// least 1; 0 means 1.
	Overcommit          float64 `json:"overcommit,omitempty"`
	Scope               Scope   `json:"scope,omitzero"`
	Priority            int     `json:"priority,omitempty"` // ShrinkByPriority reduces highest values first
	CreatedVersion      uint64  `json:"born,omitempty"`
	Version             uint64  `json:"version,omitempty"` // set when the node itself is changed
	ChildRemovedVersion uint64  `json:"dropped,omitempty"` // set when a team, route or grant is removed
}

// Permissions that a grant may hold.
const (
	PermissionRoutes    = "routes"
	PermissionLimits    = "limits"
	PermissionTeams     = "teams"
	PermissionGrants    = "grants"
	PermissionContracts = "contracts"
)

// Grant gives the holder of a key permissions on a subtree.
type Grant struct {
	Key             string   `json:"key"`    // KeyName of PublicKey
	PublicKey       []byte   `json:"public"` // Ed25519
	Path            string   `json:"path"`   // root of the subtree
	Permissions     []string `json:"acts"`
	DelegationDepth int      `json:"depth"`          // maximum length of a chain of delegations from it
	GrantedBy       string   `json:"by,omitempty"`   // name of the key that created it
	ParentID        string   `json:"from,omitempty"` // ID of the grant it was delegated from; "" for the root
	Version         uint64   `json:"version,omitempty"`
}

// ID returns the identifier of the grant. A key has at most one grant on each path.
func (g *Grant) ID() string { return g.Key + "@" + g.Path }
