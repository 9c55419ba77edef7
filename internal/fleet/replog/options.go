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

// Voter is one of the members that agree on entries. Addr is HOST:PORT. Zone may be empty.
type Voter struct{ Name, Addr, Zone string }

// Peer is a member that serves followers, as gossip reports it.
type Peer struct {
	Name  string `json:"Name"`
	Addr  string `json:"Addr"`  // HOST:PORT; empty if it serves none
	Index uint64 `json:"Index"` // of its state
}

// Mutations switch guards off, one by one, so that a scenario can show that its checks
// notice. All are false in service.
type Mutations struct {
	ApplyUncommitted bool // apply a proposal before it is committed
	SkipHashCheck    bool // accept entries whose hash chain differs
	SkipDiskSync     bool // don't wait for the disk
	AlwaysFresh      bool // report WithinLease however old the last heartbeat is
}

// Options configure a Replica.
type Options struct {
	Name          string // unique in the fleet, at most 64 bytes; a member votes if it is among Voters
	Zone          string
	Dir           string           // folder for votes.db and state.db
	Bind          string           // HOST:PORT to listen on, TCP; outgoing connections leave from the same address
	Advertise     string           // HOST:PORT at which others reach it, if that is not Bind
	Voters        []Voter          // 3 or 5, the same at all members
	Key           []byte           // the fleet's shared key, 16 bytes at least
	Genesis       logentry.Genesis // the same at all members
	Lease         time.Duration    // how long a leader's confirmation counts; 0 for 2 s, at least 200 ms
	Peers         func() []Peer    // the members known now; nil where only the voters are known
	RaftLogOutput io.Writer        // for raft's own log lines, each prefixed with [DEBUG]; nil drops them
	Mutations     Mutations
	InjectFault   func(op string) error // called before each write to the disk, for tests; may be nil
}

// OptionError reports an option that can't be used.
type OptionError struct {
	Key string // of the operator's configuration, such as "fleet.record.lease"
	Err error
}

func (e *OptionError) Error() string { return e.Key + ": " + e.Err.Error() }

// Unwrap returns the reason.
func (e *OptionError) Unwrap() error { return e.Err }

// optionErrorf returns an OptionError whose reason is formatted as by fmt.Errorf.
func optionErrorf(key, format string, args ...any) error {
	return &OptionError{Key: key, Err: fmt.Errorf(format, args...)}
}

const (
	defaultLease  = 2 * time.Second
	minLease      = 200 * time.Millisecond
	minKeyLength  = 16 // bytes
	maxNameLength = 64 // bytes
)

// setDefaults fills in the options that were left out.
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

// validate returns an *OptionError for the first option that can't be used.
func (o *Options) validate() error {
	switch {
	case o.Name == "" || len(o.Name) > maxNameLength:
		return optionErrorf("fleet.name", "%q, want 1 to %d bytes", o.Name, maxNameLength)
	case o.Dir == "":
		return &OptionError{Key: "fleet.record.dir", Err: errors.New("empty, want a folder")}
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

// CheckVoters reports whether a set of voters is usable: 3 or 5 with different names and
// addresses, and, if they are in several zones, no zone with a majority. The error is an
// *OptionError.
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
				return optionErrorf(key, "%s stands twice", identifier)
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

// findVoter returns the voter of that name.
func (o *Options) findVoter(name string) (Voter, bool) {
	for _, v := range o.Voters {
		if v.Name == name {
			return v, true
		}
	}
	return Voter{}, false
}

// All intervals derive from the lease. Raft's heartbeats that fail for one to two election
// timeouts start an election, which is decided within one more; a leader cut off from the
// others steps down after half of one. Each process uses its own monotonic clock, so clocks
// that differ do no harm.

// electionTimeout is raft's heartbeat and election timeout.
func (o *Options) electionTimeout() time.Duration { return o.Lease / 5 }

// heartbeatInterval is how often a leader confirms to the fleet that it still leads.
func (o *Options) heartbeatInterval() time.Duration { return o.Lease / 8 }

// peerTimeout is how long a peer may be silent or not take what is written to it.
func (o *Options) peerTimeout() time.Duration { return o.Lease / 2 }
