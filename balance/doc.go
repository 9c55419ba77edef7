// Package balance decides which server takes each long-lived connection.
//
// A [Balancer] is one of many balancer instances. Its caller passes it every event together with the time of
// the event ([Balancer.Handle]) and carries out the actions that are returned. The package does no I/O, reads
// no clock and starts no goroutine, and is deterministic: the same seed and events give the same actions.
// Instances share no state except through a [QuotaLease].
//
// A server is one upstream endpoint. The mechanism is P^(1,1,d,d,...) of Czumaj and Stemann, Randomized
// Allocation Processes (2001); docs/design.md lists every exception to it. The terms are the paper's: a draw
// is one uniformly chosen server, d is the number of trials, and a server's load is divided into levels. The
// sequence 1,1,d,d,... gives the threshold of each level: the number of trials after which a server at that
// level may take the request.
//
// The decision logic is in the files that deploy/balancer.toml lists under policy, here in the order in which
// they apply to a request:
//
//	admission.go    which request draws next, and which is answered at once
//	draw.go         which server takes a request
//	subset.go       which of the ready servers an instance draws from
//	constraints.go  in which zones a request may be drawn
//	probe.go        the load of a server
//	slowstart.go    how many attempts a server may receive while it warms up
//	affinity.go     which server takes a member of a group
//	placement.go    what follows an attempt
//	rebalance.go    which connections are migrated
//	endpoints.go    which servers exist, and when to subscribe to their list
//
// All other files hold the interface (events, actions, settings, quota, learned state) and the state, and
// contain no decision logic.
//
// [New] and [Settings.Validate] return a [*SettingsError]; nothing else returns an error. Events that name
// unknown requests or servers are ignored: the request or server may have been removed while the event was on
// its way.
package balance
