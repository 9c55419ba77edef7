// Package agent is the fleet agent beside one node. It brings together gossip, the
// replicated log, the controllers that turn members' reports into changes of the log, and
// the answers to the node and to operators. Without a replicated log the rest goes on.
//
// What an agent decides alone and what takes the log:
//
//   - Zones: the leader proposes which zones are evacuated; members follow the log while it
//     is within its lease, and an isolated controller of their own otherwise.
//   - Objectives: every voter judges the latency samples of all members; the leader proposes
//     how a contract's traffic is allocated to regions.
//   - Routes and limits of accounts: each agent builds its node's route table from the log,
//     and allocates its node's part of the limits from what all members have used.
//
// Goroutines: Run owns one that sends samples to each other voter, one that allocates
// quotas, and one for each proposal under way. They end with its context; Run returns after
// all of them. HandleReport and HandleOperator are called on the goroutines of agentapi.
//
// Errors: those of HandleOperator are texts for operators; an *agentapi.CallError says that
// the outcome of a proposal is unknown.
package agent
