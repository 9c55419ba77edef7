package account

// Limits bound what an account, a team or a route may use over the whole fleet. A negative
// value sets no bound; 0 allows nothing.
type Limits struct {
	Connections float64 `json:"open"`    // established at the same time
	SetupRate   float64 `json:"rate"`    // session set-ups a second
	RetryRate   float64 `json:"retries"` // retries a second
	ProbeRate   float64 `json:"probes"`  // probes a second
	Routes      int     `json:"routes"`  // in the whole subtree
	Teams       int     `json:"teams"`   // in the whole subtree
}

// Match says which sessions a route takes. An empty field matches all.
type Match struct {
	Class     string  `json:"class,omitempty"`
	Tenant    string  `json:"tenant,omitempty"` // the realm, where the settings have it
	Group     string  `json:"group,omitempty"`  // one group's key
	HashFrom  float64 `json:"from,omitempty"`   // a range of the group's hash, scaled to 0 up to below 1
	HashTo    float64 `json:"to,omitempty"`     // 0 and 0 for all
	Returning *bool   `json:"returned,omitempty"`
	Retry     *bool   `json:"retry,omitempty"`
}

// ZoneShare is a zone or region that a route may use, and how much of the route goes there.
type ZoneShare struct {
	Zone    string  `json:"zone"`
	Percent float64 `json:"percent"`
}

// Route says where sessions that match may go.
type Route struct {
	Name       string      `json:"name"` // unique within its owner
	Owner      string      `json:"owner"`
	Match      Match       `json:"match"`
	ZoneShares []ZoneShare `json:"parts,omitempty"` // empty for all that the owner may use
	Limits     Limits      `json:"limits"`
	Contract   string      `json:"contract,omitempty"`
	Priority   int         `json:"priority,omitempty"` // the lower keeps longest when its owner is cut
	Version    uint64      `json:"version,omitempty"`  // of the State, when it was last changed
}

// Path is how limits, contracts and usage name the route: owner, colon, name.
func (r *Route) Path() string { return r.Owner + ":" + r.Name }

// Scope is what an account or a team may use and match. An empty list is the parent's, and
// all where no ancestor has one.
type Scope struct {
	Zones   []string `json:"zones,omitempty"`   // and regions
	Tenants []string `json:"tenants,omitempty"` // a route must name one of them
	Classes []string `json:"classes,omitempty"` // and one of these
}

// Node is an account, or a team in one. The versions are those of the State.
type Node struct {
	Limits              Limits  `json:"limits"`
	Overcommit          float64 `json:"overcommit,omitempty"` // times the limits that children may hold; from 1 on, 0 is 1
	Scope               Scope   `json:"scope,omitzero"`
	Priority            int     `json:"priority,omitempty"` // the lower keeps longest when its parent is cut
	CreatedVersion      uint64  `json:"born,omitempty"`
	Version             uint64  `json:"version,omitempty"` // when the node itself was last changed
	ChildRemovedVersion uint64  `json:"dropped,omitempty"` // when a team, route or grant of it was last removed
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
	Path            string   `json:"path"`   // top of the subtree
	Permissions     []string `json:"acts"`
	DelegationDepth int      `json:"depth"`          // how many times it may be delegated, one below the other
	GrantedBy       string   `json:"by,omitempty"`   // name of the key that created it
	ParentID        string   `json:"from,omitempty"` // ID of the grant by which it was created; empty for the root's
	Version         uint64   `json:"version,omitempty"`
}

// ID names a grant: a key has one at most on each path.
func (g *Grant) ID() string { return g.Key + "@" + g.Path }
