// Package listlease implements the lease of the endpoint list: until when a node may use the list that it
// holds. A change of the list counts as notified NotifyDelay after discovery has the change and can be
// reached, whether or not the notification arrives. A list may therefore be used until NotifyDelay after
// the latest time at which the node had evidence that the list lacked no notified change.
//
// A Lease processes the evidence as it arrives: a confirmation of the list, the outcome of a call to
// discovery, a reload. docs/notes/list-lease.md derives from the operators' pages what each of them proves.
// A Status is a snapshot of the Lease; it is checked immediately before each attempt.
//
// The package does no I/O, reads no clock and starts no goroutine. Times are passed in and must have a
// monotonic clock reading, because the delays are measured in elapsed time. A Lease is not safe for
// concurrent use; a Status is.
package listlease
