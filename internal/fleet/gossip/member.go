package gossip

import (
	"hash/maphash"
	"sync"
	"time"

	"github.com/hashicorp/memberlist"

	"coralrelay/internal/fleet/quota"
	"coralrelay/internal/fleet/zonestatus"
)

// receivedHashSlots is how many hashes of received messages are kept.
const receivedHashSlots = 4096

// Member is this agent as a member of the fleet. The exported fields are set before Run.
type Member struct {
	Zone          string // of the node; empty for none
	ReplogAddress string // where the others reach its replicated log; empty if it serves none
	// OnMessage takes what others Send to this member; nil for nobody. It must return at once
	// and must not keep the message.
	OnMessage func(message []byte)

	name        string
	incarnation int64
	cfg         quota.Config
	clock       func() time.Duration // Unix time

	mu                 sync.Mutex
	quotaState         *quota.State
	metadata           map[string]nodeMetadata // of the others, by name
	reports            map[string]report       // the last of each member
	usages             map[string]Usage        // the last of each member
	encodedUsages      map[string][]byte       // usages as they were sent
	decision           Decision
	seq                uint64                 // of this member's last report
	period             int64                  // of the node's last quota usage
	spentInPeriod      map[quota.Endpoint]int // tokens
	spentInPriorPeriod map[quota.Endpoint]int // tokens
	hashSeed           maphash.Seed
	receivedHashes     [receivedHashSlots]uint64 // of messages that were accepted, each at its slot
	enqueue            func(name string, payload []byte)
	cluster            *memberlist.Memberlist // nil before Run has created it
}

// Decision is what the replicated log, or this member by itself, has decided for its node.
type Decision struct {
	LogIndex     uint64                    // of the replicated log as this member serves it
	ZoneLimits   []zonestatus.TrafficLimit // zones without one are not limited
	ShedFraction float64                   // of first attempts, rejected at once
}

// NewMember returns a member that knows no other. The clock is Unix time; the quota guards that
// are disabled are for mutations.
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

// SetDecision sets what the node's leases say from now on.
func (m *Member) SetDecision(decision Decision) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.decision = decision
	m.removeExpired(m.clock())
}
