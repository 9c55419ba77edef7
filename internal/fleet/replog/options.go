package replog

import (
	"errors"
	"fmt"
	"io"
	"net"
	"net/netip"
	"time"

	"coralrelay/internal/fleet/logentry"
)

// Voter is one of the members that run raft. Addr is HOST:PORT. Zone may be empty.
type Voter struct{ Name, Addr, Zone string }

// Peer is a member of the fleet, as reported by gossip.
type Peer struct {
	Name  string `json:"Name"`
	Addr  string `json:"Addr"`  // HOST:PORT; empty if it serves no followers
	Index uint64 `json:"Index"` // of its state
}

// Mutations disable individual guards, so that a scenario can show that its checks detect the
// resulting faults. All are false in production.
type Mutations struct {
	ApplyUncommitted bool // apply a proposal before its entry is committed
	SkipHashCheck    bool // accept entries whose hash chain differs
	SkipDiskSync     bool // do not sync writes to the disk
	AlwaysFresh      bool // report WithinLease however old the last heartbeat is
}

// Options configure a Replica.
type Options struct {
	Name          string // unique in the fleet, at most 64 bytes; a member named in Voters is a voter
	Zone          string
	Dir           string           // directory of votes.db and state.db
	Bind          string           // TCP HOST:PORT to listen on; outgoing connections use its IP address
	Advertise     string           // HOST:PORT at which other members reach this one; empty if it is Bind
	Voters        []Voter          // 3 or 5, the same on all members
	Key           []byte           // the fleet's shared key, at least 16 bytes
	Genesis       logentry.Genesis // the same on all members
	Lease         time.Duration    // how long a leader's confirmation is valid; at least 200 ms, 0 means 2 s
	Peers         func() []Peer    // returns the members known now; nil if only the voters are known
	RaftLogOutput io.Writer        // receives raft's log lines, each prefixed with [DEBUG]; nil discards them
	Mutations     Mutations
	InjectFault   func(op string) error // called before each disk write, for tests; may be nil
}

// OptionError reports an invalid option.
type OptionError struct {
	Key string // in the operator's configuration, such as "fleet.record.lease"
	Err error
}

func (e *OptionError) Error() string { return e.Key + ": " + e.Err.Error() }

// Unwrap returns e.Err.
func (e *OptionError) Unwrap() error { return e.Err }

// optionErrorf returns an *OptionError for key, with an Err formatted by fmt.Errorf.
func optionErrorf(key, format string, args ...any) error {
	return &OptionError{Key: key, Err: fmt.Errorf(format, args...)}
}

const (
	defaultLease  = 2 * time.Second
	minLease      = 200 * time.Millisecond
	minKeyLength  = 16 // bytes
	maxNameLength = 64 // bytes
)

// setDefaults sets omitted options to their defaults.
func (o *Options) setDefaults() {
	if o.Lease == 0 {
		o.Lease = defaultLease
	}
	if o.RaftLogOutput == nil {
		o.RaftLogOutput = io.Discard
	}
	if o.Peers == nil {
		o.Peers = func() []Peer { return nil }
	}
	if o.InjectFault == nil {
		o.InjectFault = func(string) error { return nil }
	}
}

// validate returns an *OptionError for the first invalid option.
func (o *Options) validate() error {
	switch {
	case o.Name == "" || len(o.Name) > maxNameLength:
		return optionErrorf("fleet.name", "%q, want 1 to %d bytes", o.Name, maxNameLength)
	case o.Dir == "":
		return &OptionError{Key: "fleet.record.dir", Err: errors.New("empty, want a directory")}
	case len(o.Key) < minKeyLength:
		return optionErrorf("fleet.key", "%d bytes, want %d at least", len(o.Key), minKeyLength)
	case o.Lease < minLease:
		return optionErrorf("fleet.record.lease", "%v, want %v at least", o.Lease, minLease)
	}
	if _, err := netip.ParseAddrPort(o.Bind); err != nil {
		return &OptionError{Key: "fleet.record.bind", Err: err}
	}
	return CheckVoters(o.Voters)
}

// CheckVoters returns an *OptionError unless the voters are a valid set: 3 or 5 voters with
// distinct names and addresses and, if they are in several zones, no majority in one zone.
func CheckVoters(voters []Voter) error {
	const key = "fleet.record.voters"
	if count := len(voters); count != 3 && count != 5 {
		return optionErrorf(key, "%d, want 3 or 5", count)
	}
	seen, votersInZone := map[string]bool{}, map[string]int{}
	for _, v := range voters {
		if v.Name == "" || len(v.Name) > maxNameLength {
			return optionErrorf(key, "name %q, want 1 to %d bytes", v.Name, maxNameLength)
		}
		if _, _, err := net.SplitHostPort(v.Addr); err != nil {
			return optionErrorf(key, "%s: %w", v.Name, err)
		}
		for _, identifier := range []string{"name " + v.Name, "address " + v.Addr} {
			if seen[identifier] {
				return optionErrorf(key, "%s is listed twice", identifier)
			}
			seen[identifier] = true
		}
		if v.Zone != "" {
			votersInZone[v.Zone]++
		}
	}
	for _, v := range voters {
		if len(votersInZone) > 1 && votersInZone[v.Zone] > len(voters)/2 && v.Zone != "" {
			return optionErrorf(key, "zone %s holds %d of %d, a majority", v.Zone, votersInZone[v.Zone], len(voters))
		}
	}
	return nil
}

// findVoter returns the voter with the given name.
func (o *Options) findVoter(name string) (Voter, bool) {
	for _, v := range o.Voters {
		if v.Name == name {
			return v, true
		}
	}
	return Voter{}, false
}

// All intervals derive from the lease. A voter starts an election after one to two election
// timeouts without a heartbeat from raft's leader, and the election takes at most one more. A
// leader that cannot reach a majority steps down after half an election timeout. Each process
// uses its own monotonic clock, so differences between the clocks have no effect.

// electionTimeout returns raft's heartbeat timeout, which is also its election timeout.
func (o *Options) electionTimeout() time.Duration { return o.Lease / 5 }

// heartbeatInterval returns the interval at which a leader confirms to the fleet that it still
// leads.
func (o *Options) heartbeatInterval() time.Duration { return o.Lease / 8 }

// peerTimeout returns how long a peer may be silent or a write to it may block.
func (o *Options) peerTimeout() time.Duration { return o.Lease / 2 }
