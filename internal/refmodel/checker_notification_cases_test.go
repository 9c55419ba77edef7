package refmodel

import "time"

// notificationCases test rule 3: changes that count as notified whether or not a notification arrived.
var notificationCases = []checkerCase{
	{"a change without a notification, just within the grace period", func(c *Checker) {
		c.ServerChanged(0, "a", Draining, 0)
		replaceRequest(c, "k", 6*time.Second)
		c.AttemptSent(6300*ms, "k", "a")
	}, ""},
	{"a change without a notification", func(c *Checker) {
		c.ServerChanged(0, "a", Draining, 0)
		replaceRequest(c, "k", 6*time.Second)
		c.AttemptSent(6301*ms, "k", "a")
	}, "rule 3"},
	{"a change that was notified before it was due", func(c *Checker) {
		c.ServerChanged(0, "a", Draining, 0)
		c.NodeNotified(ms, "a", Draining, 0)
		c.AttemptSent(302*ms, "r", "a")
	}, "rule 3"},
	{"a change that was notified after it was due", func(c *Checker) {
		c.ServerChanged(0, "a", Draining, 0)
		replaceRequest(c, "k", 6200*ms)
		c.NodeNotified(6200*ms, "a", Draining, 0)
		c.AttemptSent(6301*ms, "k", "a")
	}, "rule 3"},
	{"an older list after the notification", func(c *Checker) {
		c.ServerChanged(0, "a", Draining, 0)
		c.NodeNotified(ms, "a", Draining, 0)
		c.NodeNotified(2*ms, "a", Ready, 0)
		replaceRequest(c, "k", 6*time.Second)
		c.AttemptSent(6301*ms, "k", "a")
	}, "rule 3"},
	{"the first of two changes counts", func(c *Checker) {
		c.ServerChanged(0, "a", Draining, 0)
		c.ServerChanged(time.Second, "a", Gone, 0)
		replaceRequest(c, "k", 6*time.Second)
		c.AttemptSent(6301*ms, "k", "a")
	}, "rule 3"},
	{"a reverted change, before its revert counts as notified", func(c *Checker) {
		c.ServerChanged(0, "a", Draining, 0)
		c.ServerChanged(time.Second, "a", Ready, 0)
		replaceRequest(c, "k", 6*time.Second)
		c.AttemptSent(6500*ms, "k", "a")
	}, "rule 3"},
	{"a reverted change", func(c *Checker) {
		c.ServerChanged(0, "a", Draining, 0)
		c.ServerChanged(time.Second, "a", Ready, 0)
		replaceRequest(c, "k", 7*time.Second)
		c.AttemptSent(7*time.Second, "k", "a")
	}, ""},
	{"a reverted change, after its revert was notified", func(c *Checker) {
		c.RequestAnswered(0, "r", Refused)
		c.ServerChanged(0, "a", Draining, 0)
		c.ServerChanged(time.Second, "a", Ready, 0)
		c.NodeNotified(2*time.Second, "a", Ready, 0)
		c.RequestArrived(6*time.Second, "k", 6*time.Second+time.Second, RetryPolicy{})
		c.AttemptSent(6500*ms, "k", "a")
	}, ""},
	{"while discovery is unreachable", func(c *Checker) {
		c.RequestAnswered(0, "r", Refused)
		c.ServerChanged(0, "a", Draining, 0)
		c.DiscoveryReachabilityChanged(5*time.Second, false)
		c.RequestArrived(20*time.Second, "k", 20*time.Second+time.Second, RetryPolicy{})
		c.AttemptSent(20*time.Second, "k", "a")
	}, ""},
	{"after discovery is reachable again, just within the grace period", func(c *Checker) {
		c.RequestAnswered(0, "r", Refused)
		c.ServerChanged(0, "a", Draining, 0)
		c.DiscoveryReachabilityChanged(5*time.Second, false)
		c.DiscoveryReachabilityChanged(10*time.Second, true)
		c.RequestArrived(16*time.Second, "k", 16*time.Second+time.Second, RetryPolicy{})
		c.AttemptSent(16300*ms, "k", "a")
	}, ""},
	{"after discovery is reachable again", func(c *Checker) {
		c.RequestAnswered(0, "r", Refused)
		c.ServerChanged(0, "a", Draining, 0)
		c.DiscoveryReachabilityChanged(5*time.Second, false)
		c.DiscoveryReachabilityChanged(10*time.Second, true)
		c.RequestArrived(16*time.Second, "k", 16*time.Second+time.Second, RetryPolicy{})
		c.AttemptSent(16301*ms, "k", "a")
	}, "rule 3"},
	{"a change that was due before discovery became unreachable", func(c *Checker) {
		c.RequestAnswered(0, "r", Refused)
		c.ServerChanged(0, "a", Draining, 0)
		c.DiscoveryReachabilityChanged(6*time.Second, false)
		c.RequestArrived(6*time.Second, "k", 6*time.Second+time.Second, RetryPolicy{})
		c.AttemptSent(6301*ms, "k", "a")
	}, "rule 3"},
	{"a pushed change, just within the grace period", func(c *Checker) {
		c.rules.NotifyDelay = 0
		c.ServerChanged(0, "a", Gone, 0)
		c.AttemptSent(300*ms, "r", "a")
	}, ""},
	{"a pushed change, after the grace period", func(c *Checker) {
		c.rules.NotifyDelay = 0
		c.ServerChanged(0, "a", Gone, 0)
		c.AttemptSent(301*ms, "r", "a")
	}, "rule 3"},
	{"a server that the node was not notified of", func(c *Checker) {
		c.ServerChanged(0, "c", Ready, 0)
		c.AttemptSent(ms, "r", "c")
	}, "rule 3"},
}

// failFastCases test rule 5: requests that may not be sent to any server.
var failFastCases = []checkerCase{
	{"unanswered: the only ready server was not notified", func(c *Checker) {
		c.ServerChanged(0, "c", Ready, 0)
		c.NodeNotified(0, "a", Draining, 0)
		c.NodeNotified(0, "b", Gone, 0)
		c.CheckDeadlines(2 * ms)
	}, "rule 5"},
	{"unanswered after a reset", func(c *Checker) {
		c.AttemptSent(0, "r", "a")
		c.AttemptEnded(ms, "r", NoReply)
		c.CheckDeadlines(3 * ms)
	}, "rule 5"},
	{"answered after a reset", func(c *Checker) {
		c.AttemptSent(0, "r", "a")
		c.AttemptEnded(ms, "r", NoReply)
		c.RequestAnswered(2*ms, "r", Failed)
	}, ""},
	{"unanswered: all servers were tried", func(c *Checker) {
		c.NodeNotified(0, "c", Gone, 0)
		c.RequestArrived(0, "t", time.Second, RetryPolicy{})
		for _, s := range []string{"a", "b"} {
			c.AttemptSent(0, "t", s)
			c.AttemptEnded(0, "t", NotRun)
		}
		c.CheckDeadlines(2 * ms)
	}, "rule 5"},
	{"unanswered: no server is ready", func(c *Checker) {
		c.NodeNotified(0, "a", Draining, 0)
		c.NodeNotified(0, "b", Gone, 0)
		c.CheckDeadlines(2 * ms)
	}, "rule 5"},
	{"no server is ready for a moment", func(c *Checker) {
		c.NodeNotified(0, "a", Draining, 0)
		c.NodeNotified(0, "b", Gone, 0)
		c.NodeNotified(0, "b", Ready, 0)
		c.CheckDeadlines(2 * ms)
	}, ""},
	{"unanswered after its retry window", func(c *Checker) {
		c.RequestArrived(0, "k", time.Second, RetryPolicy{Within: 100 * ms})
		c.AttemptSent(0, "k", "a")
		c.AttemptEnded(50*ms, "k", MayHaveRun)
		c.CheckDeadlines(102 * ms)
	}, "rule 5"},
	{"answered within a tick after its retry window", func(c *Checker) {
		endAttemptOfKeyedRequest(c, 99*ms)
		c.CheckDeadlines(105 * ms)
		c.RequestAnswered(105*ms, "k", Failed)
	}, ""},
	{"unanswered a tick after its retry window", func(c *Checker) {
		endAttemptOfKeyedRequest(c, 99*ms)
		c.CheckDeadlines(100 * ms)
		c.CheckDeadlines(106 * ms)
	}, "rule 5"},
	{"unanswered after an attempt that ended after the retry window", func(c *Checker) {
		endAttemptOfKeyedRequest(c, 101*ms)
		c.CheckDeadlines(103 * ms)
	}, "rule 5"},
}
