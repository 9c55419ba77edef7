// Package balance decides which server takes each long-lived connection.
//
// A [Balancer] is one balancer instance of many. Its owner hands it every event with the time
// of that event ([Balancer.Handle]) and carries out the actions that it returns. The package
// does no I/O, reads no clock and starts no goroutine, and one seed with the same events gives
// the same actions. Instances share nothing except what a [QuotaLease] brings.
//
// A server is one upstream endpoint. The mechanism is P^(1,1,d,d,...) of Czumaj and Stemann,
// Randomized Allocation Processes (2001); docs/design.md lists every exception to it. Its words
// are the paper's: a draw is one uniformly chosen server, d is the number of trials, and a
// server's load is cut into levels.
//
// The decisions stand in the files that deploy/balancer.toml names under policy, in the order of
// a request's life:
//
//	admission.go    which request draws next, and which is answered at once
//	draw.go         which server takes a request
//	constraints.go  in which zones it may be drawn
//	probe.go        what load a server is at
//	slowstart.go    how much a server may be sent while it warms up
//	affinity.go     which server takes a member of a group
//	placement.go    what follows an attempt
//	rebalance.go    which connections are migrated
//	endpoints.go    which servers there are, and when their list is subscribed to
//
// All other files hold the interface (events, actions, settings, quota, learned state) and
// the state, and decide nothing.
//
// [New] and [Settings.Validate] return a [*SettingsError]; nothing else fails. Events about
// unknown requests or servers are ignored, since they may cross with what ended them.
package balance
