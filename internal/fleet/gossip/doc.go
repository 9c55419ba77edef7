// Package gossip is the fleet agent's membership and gossip: it knows which nodes there are
// (SWIM, by hashicorp/memberlist), spreads what each node has spent of quotas and observed of
// zones, and gives the node beside it a quota lease, as package quota decides.
//
// Member.Run owns memberlist's goroutines and ends them before it returns, which it does when
// its context ends; memberlist calls Member from them. All other methods of Member may be called
// from any goroutine and, Send apart, do not block on a socket.
//
// Run's errors name the configuration key that they are of. Messages of other members that are
// malformed are logged and dropped; those that are invalid or not new are dropped.
package gossip
