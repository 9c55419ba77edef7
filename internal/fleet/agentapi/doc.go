// Package agentapi implements the protocol between a node and the fleet agent on the same host. The
// node reports its usage and the agent responds with the node's current quota; each message is one
// line of JSON over a loopback connection. The agent is a separate process, which keeps the node
// small and lets it continue without the agent. Operators call the agent on the same port. The
// package only transports messages and makes no quota decisions.
//
// Client.Run and Serve run on the caller's goroutine and return when their context ends. Serve
// starts one goroutine per connection, which ends with the connection or the context; Serve does not
// wait for these goroutines. Call returns a *CallError for a request that the agent rejects, and
// wraps every other error with the agent's address.
package agentapi
