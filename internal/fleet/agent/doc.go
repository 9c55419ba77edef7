// Package agent implements the fleet agent, which runs beside each node. It connects gossip, the
// replicated log, the controllers that turn members' reports into proposals to the log, and the API for
// the node and for operators. An agent without a replicated log provides the functions that do not
// depend on it.
//
// The log and the agents share the decisions as follows:
//
//   - Zones: the leader proposes which zones are evacuated. A member follows the log while it is within
//     its lease, and its own isolated controller otherwise.
//   - Objectives: every voter evaluates the latency samples of all members. The leader proposes how a
//     contract's traffic is allocated to regions.
//   - Routes and limits of accounts: each agent builds its node's route table from the log, and
//     allocates its node's share of the limits from the usage that all members report.
//
// Goroutines: Run owns one for each other voter that sends it samples, one that allocates quotas, and
// one for each pending proposal. They end with the context of Run, and Run returns after all of them.
// HandleReport and HandleOperator are called on the goroutines of agentapi.
//
// Errors: those of HandleOperator are texts for operators. An *agentapi.CallError means that the
// outcome of a proposal is unknown.
package agent
