// Package gossip implements the fleet agent's membership and gossip. It tracks the members of the
// fleet (SWIM, by hashicorp/memberlist), spreads each node's quota usage and zone observations, and
// issues quota leases to the local node, as package quota computes them.
//
// Member.Run owns memberlist's goroutines, on which memberlist calls the Member. Run returns when
// its context ends, after these goroutines have ended. All other methods of Member are safe for
// concurrent use and, except Send, do not block on a socket.
//
// An error of Run starts with the configuration key that it concerns, if any. A malformed message
// of another member is logged and dropped; an invalid or outdated one is dropped silently.
package gossip
