// Package replog is the fleet's replicated log: entries agreed on by raft
// (hashicorp/raft) among three or five voters, the state that they add up to, and the tree
// by which every other member follows. Every member serves followers; all traffic goes
// through one TCP port, sealed with the fleet's key. The design, its bounds and the
// alternatives that were weighed are in docs/notes/record.md.
//
// # Parts
//
//   - Replica is one member: Open, Run, Propose, View.
//   - publisher holds the current View and the last committed entries, and wakes waiters.
//   - transport accepts and dials sealed connections; raftLayer gives raft its share of them.
//   - voterStore holds what a voter must not forget: raft's log, term, vote and snapshot.
//   - stateFile keeps the last known state, for a member that starts without any peer.
//   - followerClock and upstreamClock bound how old a heartbeat is when it arrives.
//
// # Goroutines
//
// Run owns all goroutines and returns after the last of them:
//
//   - follow, stateFile.run and watchFreshness, and runVoter on a voter, end with Run's context;
//   - while raft runs, raft's own goroutines and confirmLeadership end before runRaft returns;
//   - one goroutine for each accepted connection ends when the connection does, and with it
//     the reader of its sequence numbers; ending Run's context closes all connections;
//   - one goroutine for each proposal at the leader ends when raft has answered, at the
//     latest when raft shuts down. It may outlive the request that started it, and is the
//     one kind that Run does not wait for.
//
// # Errors
//
// Open returns an *OptionError for an option that can't be used. Propose returns
// ErrOutcomeUnknown when the entry may or may not become part of the log; any other error
// says that it does not. An entry that was rejected is no error: see logentry.Outcome.
// A disk that fails is no error of Open or Run either: View.DiskError shows it.
package replog
