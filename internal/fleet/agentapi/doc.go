// Package agentapi is how a node and the fleet agent beside it talk: the node reports what it has
// used, the agent responds with what it may use now, a line of JSON each over a loopback
// connection. The agent is a process of its own, so that the node stays lean and goes on alone
// when the agent is gone. Operators call the agent on the same port. Nothing is decided here.
//
// Goroutines: Client.Run and Serve run on their callers' and end with their context. Serve starts
// one for each connection, which ends with the connection or the context; it does not wait for
// them. Errors: Call returns a *CallError for what the agent rejects, and wraps all else with the
// agent's address.
package agentapi
