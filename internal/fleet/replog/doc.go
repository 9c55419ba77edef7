// Package replog implements the fleet's replicated log. Three or five voters agree on entries
// by raft (hashicorp/raft). The other members follow: each receives the committed entries
// from an upstream, which is a voter or another follower, and applies them to its own copy of
// the state. Every member serves followers. All traffic uses one TCP port and is sealed with
// keys derived from the fleet's key. docs/notes/record.md describes the design, its bounds
// and the alternatives considered.
//
// # Parts
//
//   - Replica is one member: Open, Run, Propose, View.
//   - publisher holds the current View and the last committed entries, and notifies waiters.
//   - transport accepts and dials sealed connections; raftLayer provides raft with its own.
//   - voterStore persists a voter's raft log, term, vote and snapshot.
//   - stateFile persists the last known state, for a member that starts with no peer reachable.
//   - followerClock and upstreamClock bound the age of a heartbeat on arrival.
//
// # Goroutines
//
// Run owns all goroutines, and waits for all but those of the last kind before it returns:
//
//   - follow, stateFile.run and watchLease, and runVoter on a voter, end with Run's context;
//   - raft's own goroutines and confirmLeadership run while raft runs, and end before runRaft
//     returns;
//   - one goroutine per accepted connection, and the reader of its sequence numbers, end when
//     the connection is closed; all connections are closed when Run's context ends;
//   - one goroutine per proposal at the leader ends when raft has answered, at the latest when
//     raft shuts down. It may outlive the request that started it; Run does not wait for it.
//
// # Errors
//
// Open returns an *OptionError for an invalid option. Propose returns ErrOutcomeUnknown if the
// entry may or may not become part of the log; any other error means that it does not. A
// rejected entry is not an error: see logentry.Outcome. Open and Run do not return disk
// failures; View.DiskError reports them.
package replog
