// Package listlease says until when a node may rely on the endpoint list that it has. Whatever discovery
// has to tell counts as notified a while after discovery had it and could be reached, whether or not it
// arrived; so a list may be relied on for that long after discovery last vouched for it, and no longer.
//
// A Lease takes each piece of evidence as it comes: that the list was confirmed, how a call ended, a
// reload. docs/notes/list-lease.md derives from the operators' pages what each proves. A Status is what
// the Lease says at a moment; right before each attempt it is asked whether the attempt may begin.
//
// The package does no I/O, reads no clock and starts no goroutine; times are passed in and must have a
// monotonic reading, as spans are of real time. A Lease is not safe for concurrent use, a Status is.
package listlease
