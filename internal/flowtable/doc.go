// Package flowtable decides about flows of datagrams: which flows have an entry in a
// table of fixed size, when an idle flow expires, which flow is evicted for a new one, how
// fast new flows and placements may come, how many datagrams wait for a placement, and
// whether an endpoint is still alive.
//
// The package does no I/O, reads no clock and starts no goroutine. Time is an argument: a
// duration since any fixed moment. Nothing is allocated for a datagram of a known flow. No
// type may be used by more than one goroutine at a time, and no operation returns an error:
// a rejected flow or dropped datagram shows as a Verdict, a bool or a call of a callback.
package flowtable
