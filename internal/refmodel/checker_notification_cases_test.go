package refmodel

import "time"

// notificationCases are of rule 3: changes that count as notified, whether or not a notification arrived.
var notificationCases = []checkerCase{
	{"a change that never came, just in time", func(c *Checker) {
		c.ServerChanged(0, "a", Draining, 0)
		answerAndAskAgain(c, "k", 6*time.Second)
		c.AttemptSent(6300*ms, "k", "a")
	}, ""},
	{"a change that never came", func(c *Checker) {
		c.ServerChanged(0, "a", Draining, 0)
		answerAndAskAgain(c, "k", 6*time.Second)
		c.AttemptSent(6301*ms, "k", "a")
	}, "rule 3"},
	{"a change that came before", func(c *Checker) {
		c.ServerChanged(0, "a", Draining, 0)
		c.NodeNotified(ms, "a", Draining, 0)
		c.AttemptSent(302*ms, "r", "a")
	}, "rule 3"},
	{"a change that came too late", func(c *Checker) {
		c.ServerChanged(0, "a", Draining, 0)
		answerAndAskAgain(c, "k", 6200*ms)
		c.NodeNotified(6200*ms, "a", Draining, 0)
		c.AttemptSent(6301*ms, "k", "a")
	}, "rule 3"},
	{"an older list that came after", func(c *Checker) {
		c.ServerChanged(0, "a", Draining, 0)
		c.NodeNotified(ms, "a", Draining, 0)
		c.NodeNotified(2*ms, "a", Ready, 0)
		answerAndAskAgain(c, "k", 6*time.Second)
		c.AttemptSent(6301*ms, "k", "a")
	}, "rule 3"},
	{"the first of two changes counts", func(c *Checker) {
		c.ServerChanged(0, "a", Draining, 0)
		c.ServerChanged(time.Second, "a", Gone, 0)
		answerAndAskAgain(c, "k", 6*time.Second)
		c.AttemptSent(6301*ms, "k", "a")
	}, "rule 3"},
	{"a change that was taken back, before that counts", func(c *Checker) {
		c.ServerChanged(0, "a", Draining, 0)
		c.ServerChanged(time.Second, "a", Ready, 0)
		answerAndAskAgain(c, "k", 6*time.Second)
		c.AttemptSent(6500*ms, "k", "a")
	}, "rule 3"},
	{"a change that was taken back", func(c *Checker) {
		c.ServerChanged(0, "a", Draining, 0)
		c.ServerChanged(time.Second, "a", Ready, 0)
		answerAndAskAgain(c, "k", 7*time.Second)
		c.AttemptSent(7*time.Second, "k", "a")
	}, ""},
	{"a change that was taken back, as the node knows", func(c *Checker) {
		c.RequestAnswered(0, "r", Refused)
		c.ServerChanged(0, "a", Draining, 0)
		c.ServerChanged(time.Second, "a", Ready, 0)
		c.NodeNotified(2*time.Second, "a", Ready, 0)
		c.RequestArrived(6*time.Second, "k", 6*time.Second+time.Second, RetryPolicy{})
		c.AttemptSent(6500*ms, "k", "a")
	}, ""},
	{"while discovery can't be reached", func(c *Checker) {
		c.RequestAnswered(0, "r", Refused)
		c.ServerChanged(0, "a", Draining, 0)
		c.DiscoveryReachabilityChanged(5*time.Second, false)
		c.RequestArrived(20*time.Second, "k", 20*time.Second+time.Second, RetryPolicy{})
		c.AttemptSent(20*time.Second, "k", "a")
	}, ""},
	{"after discovery is back, just in time", func(c *Checker) {
		c.RequestAnswered(0, "r", Refused)
		c.ServerChanged(0, "a", Draining, 0)
		c.DiscoveryReachabilityChanged(5*time.Second, false)
		c.DiscoveryReachabilityChanged(10*time.Second, true)
		c.RequestArrived(16*time.Second, "k", 16*time.Second+time.Second, RetryPolicy{})
		c.AttemptSent(16300*ms, "k", "a")
	}, ""},
	{"after discovery is back", func(c *Checker) {
		c.RequestAnswered(0, "r", Refused)
		c.ServerChanged(0, "a", Draining, 0)
		c.DiscoveryReachabilityChanged(5*time.Second, false)
		c.DiscoveryReachabilityChanged(10*time.Second, true)
		c.RequestArrived(16*time.Second, "k", 16*time.Second+time.Second, RetryPolicy{})
		c.AttemptSent(16301*ms, "k", "a")
	}, "rule 3"},
	{"before discovery can't be reached", func(c *Checker) {
		c.RequestAnswered(0, "r", Refused)
		c.ServerChanged(0, "a", Draining, 0)
		c.DiscoveryReachabilityChanged(6*time.Second, false)
		c.RequestArrived(6*time.Second, "k", 6*time.Second+time.Second, RetryPolicy{})
		c.AttemptSent(6301*ms, "k", "a")
	}, "rule 3"},
	{"a pushed change, just in time", func(c *Checker) {
		c.rules.NotifyDelay = 0
		c.ServerChanged(0, "a", Gone, 0)
		c.AttemptSent(300*ms, "r", "a")
	}, ""},
	{"a pushed change", func(c *Checker) {
		c.rules.NotifyDelay = 0
		c.ServerChanged(0, "a", Gone, 0)
		c.AttemptSent(301*ms, "r", "a")
	}, "rule 3"},
	{"a server that no word came of", func(c *Checker) {
		c.ServerChanged(0, "c", Ready, 0)
		c.AttemptSent(ms, "r", "c")
	}, "rule 3"},
}

// promptnessCases are of rule 5: requests that no server may be sent.
var promptnessCases = []checkerCase{
	{"given up and kept: no word of another", func(c *Checker) {
		c.ServerChanged(0, "c", Ready, 0)
		c.NodeNotified(0, "a", Draining, 0)
		c.NodeNotified(0, "b", Gone, 0)
		c.CheckDeadlines(2 * ms)
	}, "rule 5"},
	{"given up and kept: a reset", func(c *Checker) {
		c.AttemptSent(0, "r", "a")
		c.AttemptEnded(ms, "r", NoReply)
		c.CheckDeadlines(3 * ms)
	}, "rule 5"},
	{"given up and answered", func(c *Checker) {
		c.AttemptSent(0, "r", "a")
		c.AttemptEnded(ms, "r", NoReply)
		c.RequestAnswered(2*ms, "r", Failed)
	}, ""},
	{"given up and kept: all tried", func(c *Checker) {
		c.NodeNotified(0, "c", Gone, 0)
		c.RequestArrived(0, "t", time.Second, RetryPolicy{})
		for _, s := range []string{"a", "b"} {
			c.AttemptSent(0, "t", s)
			c.AttemptEnded(0, "t", NotRun)
		}
		c.CheckDeadlines(2 * ms)
	}, "rule 5"},
	{"given up and kept: nobody is ready", func(c *Checker) {
		c.NodeNotified(0, "a", Draining, 0)
		c.NodeNotified(0, "b", Gone, 0)
		c.CheckDeadlines(2 * ms)
	}, "rule 5"},
	{"nobody is ready for a moment", func(c *Checker) {
		c.NodeNotified(0, "a", Draining, 0)
		c.NodeNotified(0, "b", Gone, 0)
		c.NodeNotified(0, "b", Ready, 0)
		c.CheckDeadlines(2 * ms)
	}, ""},
	{"given up and kept: its window is over", func(c *Checker) {
		c.RequestArrived(0, "k", time.Second, RetryPolicy{Within: 100 * ms})
		c.AttemptSent(0, "k", "a")
		c.AttemptEnded(50*ms, "k", MayHaveRun)
		c.CheckDeadlines(102 * ms)
	}, "rule 5"},
	{"its window is over: within a tick", func(c *Checker) {
		endWithinRetryWindow(c, 99*ms)
		c.CheckDeadlines(105 * ms)
		c.RequestAnswered(105*ms, "k", Failed)
	}, ""},
	{"given up and kept: a tick after its window", func(c *Checker) {
		endWithinRetryWindow(c, 99*ms)
		c.CheckDeadlines(100 * ms)
		c.CheckDeadlines(106 * ms)
	}, "rule 5"},
	{"given up and kept: a tick after it ended", func(c *Checker) {
		endWithinRetryWindow(c, 101*ms)
		c.CheckDeadlines(103 * ms)
	}, "rule 5"},
}
