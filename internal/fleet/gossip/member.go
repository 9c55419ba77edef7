package gossip

import (
	"hash/maphash"
	"sync"
	"time"

	"github.com/hashicorp/memberlist"

	"coralrelay/internal/fleet/quota"
	"coralrelay/internal/fleet/zonestatus"
)

// receivedHashSlots is the number of hashes of received messages that are kept to detect duplicates.
const receivedHashSlots = 4096

// Member is the local agent as a member of the fleet. The exported fields must be set before Run.
type Member struct {
	Zone          string // zone of the node; empty if it has none
	ReplogAddress string // address at which this member serves the replicated log; empty if it does not
	// OnMessage receives the messages that other members Send to this one; they are dropped if it is
	// nil. It must not block and must not retain the message.
	OnMessage func(message []byte)

	name        string
	incarnation int64
	cfg         quota.Config
	clock       func() time.Duration // returns Unix time

	mu                 sync.Mutex
	quotaState         *quota.State
	metadata           map[string]nodeMetadata // of the other members, by name
	reports            map[string]report       // latest report of each member
	usages             map[string]Usage        // latest usage of each member
	encodedUsages      map[string][]byte       // usages as sent, by member
	decision           Decision
	seq                uint64                 // sequence number of this member's last report
	period             int64                  // latest period in the node's quota usage
	spentInPeriod      map[quota.Endpoint]int // tokens spent in period
	spentInPriorPeriod map[quota.Endpoint]int // tokens spent in the period before it
	hashSeed           maphash.Seed
	receivedHashes     [receivedHashSlots]uint64 // of accepted messages, by hash modulo length
	enqueue            func(name string, payload []byte)
	cluster            *memberlist.Memberlist // nil until Run has created it
}

// Decision is what the node's leases follow. It comes from the replicated log or, while this member is
// isolated from it, from the member itself.
type Decision struct {
	LogIndex     uint64                    // last index of the replicated log that this member has applied
	ZoneLimits   []zonestatus.TrafficLimit // zones not listed are not limited
	ShedFraction float64                   // share of first attempts to reject for lack of capacity
}

// NewMember returns a member of a fleet without other members. The clock returns Unix time. A mutation
// test disables guards of package quota; otherwise disabledGuards is the zero value.
func NewMember(name string, cfg quota.Config, disabledGuards quota.Guards, clock func() time.Duration) *Member {
	m := &Member{
		name:               name,
		incarnation:        int64(clock()),
		cfg:                cfg,
		clock:              clock,
		quotaState:         quota.NewState(name, cfg),
		metadata:           map[string]nodeMetadata{},
		reports:            map[string]report{},
		usages:             map[string]Usage{},
		encodedUsages:      map[string][]byte{},
		spentInPeriod:      map[quota.Endpoint]int{},
		spentInPriorPeriod: map[quota.Endpoint]int{},
		hashSeed:           maphash.MakeSeed(),
		enqueue:            func(string, []byte) {},
	}
	m.quotaState.DisabledGuards = disabledGuards
	return m
}

// SetDecision sets the decision that the node's leases follow from now on.
func (m *Member) SetDecision(decision Decision) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.decision = decision
	m.removeExpired(m.clock())
}
