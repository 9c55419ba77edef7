// Package inputlimit names the limits on what a peer may send, describes input that exceeds one, and
// counts it for the metrics. The values of the limits belong to the packages that read the input.
//
// The package starts no goroutine. Its functions may be called by several goroutines at once.
package inputlimit

import (
	"fmt"
	"sync/atomic"
)

// Limit identifies a limit on the input of a peer.
type Limit int

// The limits, grouped by peer.
const (
	DiscoveryHead        Limit = iota // bytes of the status line and the header of a response
	DiscoveryRate                     // bytes of a response, over time
	DiscoveryUpdates                  // messages and heartbeats on a watch, over time
	DiscoveryMessage                  // bytes of a message
	DiscoveryMessageTime              // time in which a message has to arrive, in milliseconds
	DiscoveryEntries                  // entries of a message
	DiscoveryEndpoints                // endpoints in the list that the messages add up to
	AgentUpdate                       // bytes of an update of the agent, over all its parts
	File                              // bytes of a file

	Count // number of limits
)

var names = [Count]string{
	"discovery_head", "discovery_rate", "discovery_updates", "discovery_message", "discovery_message_time",
	"discovery_entries", "discovery_endpoints", "agent_update", "file",
}

// String returns the name of the limit in metrics and log lines.
func (l Limit) String() string { return names[l] }

var exceeded [Count]atomic.Int64

// Error reports that the input of a peer exceeds a limit. Received and Max have the unit of the limit.
type Error struct {
	Limit    Limit
	Peer     string // address of the peer, or path of the file
	Received int64  // what had been received when the limit was exceeded
	Max      int64  // the value of the limit
}

// Exceeded counts that a peer's input exceeds a limit, and returns the error that describes it.
func Exceeded(limit Limit, peer string, received, maximum int64) *Error {
	exceeded[limit].Add(1)
	return &Error{Limit: limit, Peer: peer, Received: received, Max: maximum}
}

func (e *Error) Error() string {
	return fmt.Sprintf("input limit %s exceeded: %d from %s, at most %d", e.Limit, e.Received, e.Peer, e.Max)
}

// ExceededCount returns how often input has exceeded a limit.
func ExceededCount(limit Limit) int64 { return exceeded[limit].Load() }
