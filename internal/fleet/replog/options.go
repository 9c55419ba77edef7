// Package record keeps what the fleet decides as one: a replicated log of entries on
// hashicorp/raft, the state that they add up to, and the ways by which every member hears
// of a committed entry. Three or five voters agree; all others follow. How it is cut, its
// bounds and what was weighed are in docs/notes/record.md.
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

// Voter is one of the members that agree on entries.
type Voter struct{ Name, Addr, Zone string }

// Peer is a member that serves the record, as gossip tells.
type Peer struct {
	Name  string `json:"Name"`
	Addr  string `json:"Addr"`
	Index uint64 `json:"Index"`
}

// Guards can be taken out one by one, so that a rig can show that its checks see it.
type Mutations struct {
	ApplyUncommitted bool // apply a proposal before it is committed
	SkipHashCheck    bool // take entries whose chain of hashes does not agree
	SkipDiskSync     bool // don't wait for the disk
	AlwaysFresh      bool // always say that the word is fresh
}

// Options say how a member takes part.
type Options struct {
	Name          string // unique in the fleet; who is among Voters votes
	Zone          string
	Dir           string // for its files
	Bind          string // HOST:PORT, TCP; calls go out from the same address
	Advertise     string // where the others reach it, if that is elsewhere
	Voters        []Voter
	Key           []byte // the fleet's; 16 bytes at least
	Genesis       logentry.Genesis
	Lease         time.Duration // whoever has not heard for so long is not fresh; 2 s if zero
	Peers         func() []Peer // nil where only the voters are known
	RaftLogOutput io.Writer     // raft's own lines, each with [DEBUG] in front
	Mutations     Mutations
	InjectFault   func(op string) error // asked before each write to the disk, for tests; may be nil
}

const (
	defaultLease  = 2 * time.Second
	minLease      = 200 * time.Millisecond
	minKeyLength  = 16
	maxNameLength = 64
)

// check fills in what was left out and names the key that can't be worked with.
func (o *Options) normalize() error {
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
	switch {
	case o.Name == "" || len(o.Name) > maxNameLength:
		return fmt.Errorf("fleet.name: %q, want 1 to %d bytes", o.Name, maxNameLength)
	case o.Dir == "":
		return errors.New("fleet.record.dir: empty, want a folder")
	case len(o.Key) < minKeyLength:
		return fmt.Errorf("fleet.key: %d bytes, want %d at least", len(o.Key), minKeyLength)
	case o.Lease < minLease:
		return fmt.Errorf("fleet.record.lease: %v, want %v at least", o.Lease, minLease)
	}
	if _, err := netip.ParseAddrPort(o.Bind); err != nil {
		return fmt.Errorf("fleet.record.bind: %w", err)
	}
	return CheckVoters(o.Voters)
}

// CheckVoters tells whether a set of voters can be worked with: 3 or 5, and where zones are
// told apart no zone with a majority.
func CheckVoters(voters []Voter) error {
	invalid := func(format string, args ...any) error {
		return fmt.Errorf("fleet.record.voters: "+format, args...)
	}
	if count := len(voters); count != 3 && count != 5 {
		return invalid("%d, want 3 or 5", count)
	}
	seen, votersInZone := map[string]bool{}, map[string]int{}
	for _, v := range voters {
		if v.Name == "" || len(v.Name) > maxNameLength {
			return invalid("name %q, want 1 to %d bytes", v.Name, maxNameLength)
		}
		if _, _, err := net.SplitHostPort(v.Addr); err != nil {
			return invalid("%s: %w", v.Name, err)
		}
		for _, key := range []string{"name " + v.Name, "address " + v.Addr} {
			if seen[key] {
				return invalid("%s stands twice", key)
			}
			seen[key] = true
		}
		if v.Zone != "" {
			votersInZone[v.Zone]++
		}
	}
	for _, v := range voters {
		if len(votersInZone) > 1 && votersInZone[v.Zone] > len(voters)/2 && v.Zone != "" {
			return invalid("zone %s holds %d of %d, a majority", v.Zone, votersInZone[v.Zone], len(voters))
		}
	}
	return nil
}

// voter returns the voter of that name.
func (o *Options) findVoter(name string) (Voter, bool) {
	for _, v := range o.Voters {
		if v.Name == name {
			return v, true
		}
	}
	return Voter{}, false
}

// All times follow from the lease. Heartbeats that fail for one to two times beat make an
// election, which is decided within one more; a leader cut off from the others steps down
// after half of beat. All of it is each process's own monotonic time: clocks that differ do
// no harm.
func (o *Options) electionTimeout() time.Duration   { return o.Lease / 5 }
func (o *Options) heartbeatInterval() time.Duration { return o.Lease / 8 } // a leader's word that it still leads
func (o *Options) peerTimeout() time.Duration       { return o.Lease / 2 } // an upstream silent for so long is left
