package refmodel

import "time"

// checkerCase is a history that breaks one rule, or one that comes close to it and breaks none. Each
// begins with the ready servers a and b and the request r, whose deadline is one second.
type checkerCase struct {
	name string
	run  func(c *Checker)
	want string // the prefix of each violation; empty if there are none
}

// answerCases test rule 1: the final answer.
var answerCases = []checkerCase{
	{"served", func(c *Checker) {
		c.AttemptSent(0, "r", "a")
		c.RequestAnswered(ms, "r", Served)
		c.CheckDeadlines(time.Hour)
	}, ""},
	{"answered twice", func(c *Checker) {
		c.RequestAnswered(ms, "r", Refused)
		c.RequestAnswered(ms, "r", Refused)
	}, "rule 1"},
	{"never answered", func(c *Checker) { c.CheckDeadlines(1001 * ms) }, "rule 1"},
	{"answered at its deadline", func(c *Checker) {
		c.RequestAnswered(time.Second, "r", Failed)
		c.CheckDeadlines(time.Hour)
	}, ""},
	{"served without an attempt", func(c *Checker) { c.RequestAnswered(ms, "r", Served) }, "rule 1"},
	{"answer to an unknown request", func(c *Checker) {
		c.RequestAnswered(ms, "q", Failed)
		c.ClientLeft(ms, "r")
	}, "rule 1"},
	{"refused as safe to repeat after it may have run", func(c *Checker) {
		c.RequestArrived(0, "u", time.Second, RetryPolicy{Forbidden: true})
		c.AttemptSent(0, "u", "a")
		c.AttemptEnded(0, "u", MayHaveRun)
		c.RequestAnswered(0, "u", Refused)
	}, "rule 1"},
	{"answered as its client left", func(c *Checker) {
		c.ClientLeft(ms, "r")
		c.RequestAnswered(ms, "r", Refused)
	}, ""},
	{"answered after its client left", func(c *Checker) {
		c.ClientLeft(ms, "r")
		c.RequestAnswered(2*ms, "r", Refused)
	}, "rule 1"},
	{"left", func(c *Checker) {
		c.ClientLeft(ms, "r")
		c.CheckDeadlines(time.Hour)
	}, ""},
}

// attemptCases test rule 2: attempts and retries.
var attemptCases = []checkerCase{
	{"two attempts at once", func(c *Checker) {
		c.AttemptSent(0, "r", "a")
		c.AttemptSent(ms, "r", "b")
	}, "rule 2"},
	{"answered while in flight", func(c *Checker) {
		c.AttemptSent(0, "r", "a")
		c.RequestAnswered(ms, "r", Refused)
	}, "rule 2"},
	{"sent after its answer", func(c *Checker) {
		c.RequestAnswered(0, "r", Failed)
		c.AttemptSent(ms, "r", "a")
	}, "rule 2"},
	{"sent as its client left", func(c *Checker) {
		c.ClientLeft(ms, "r")
		c.AttemptSent(ms, "r", "a")
	}, ""},
	{"sent after its client left", func(c *Checker) {
		c.ClientLeft(ms, "r")
		c.AttemptSent(2*ms, "r", "a")
	}, "rule 2"},
	{"sent just after its client left", func(c *Checker) {
		c.rules.ClientGoneGrace = 100 * ms
		c.ClientLeft(ms, "r")
		c.AttemptSent(101*ms, "r", "a")
	}, ""},
	{"sent late after its client left", func(c *Checker) {
		c.rules.ClientGoneGrace = 100 * ms
		c.ClientLeft(ms, "r")
		c.AttemptSent(102*ms, "r", "a")
	}, "rule 2"},
	{"sent again after its client left", func(c *Checker) {
		c.rules.ClientGoneGrace = 100 * ms
		c.AttemptSent(0, "r", "a")
		c.ClientLeft(ms, "r")
		c.AttemptEnded(50*ms, "r", NotRun)
		c.AttemptSent(102*ms, "r", "b")
	}, "rule 2"},
	{"two attempts at once as its client left", func(c *Checker) {
		c.AttemptSent(0, "r", "a")
		c.ClientLeft(ms, "r")
		c.AttemptSent(ms, "r", "b")
	}, "rule 2"},
	{"one attempt after the other", func(c *Checker) {
		c.AttemptSent(0, "r", "a")
		c.AttemptEnded(ms, "r", NotRun)
		c.AttemptSent(ms, "r", "b")
	}, ""},
	{"more attempts than allowed", func(c *Checker) {
		for _, s := range []string{"a", "b", "a"} {
			c.AttemptSent(0, "r", s)
			c.AttemptEnded(0, "r", NotRun)
		}
	}, "rule 2"},
	{"sent again after a reset", func(c *Checker) {
		c.AttemptSent(0, "r", "a")
		c.AttemptEnded(0, "r", NoReply)
		c.AttemptSent(0, "r", "b")
	}, "rule 2"},
	{"retried after its window", func(c *Checker) {
		c.RequestArrived(0, "k", time.Second, RetryPolicy{Within: 100 * ms})
		c.AttemptSent(0, "k", "a")
		c.AttemptEnded(50*ms, "k", MayHaveRun)
		c.AttemptSent(100*ms, "k", "b")
	}, "rule 2"},
}

// drainCases test rule 3: servers whose drain or end the node was notified of.
var drainCases = []checkerCase{
	{"just within the grace period", func(c *Checker) {
		c.NodeNotified(0, "a", Draining, 0)
		c.AttemptSent(300*ms, "r", "a")
	}, ""},
	{"after the grace period of a drain", func(c *Checker) {
		c.NodeNotified(0, "a", Draining, 0)
		c.AttemptSent(301*ms, "r", "a")
	}, "rule 3"},
	{"draining, then gone", func(c *Checker) {
		c.NodeNotified(0, "a", Draining, 0)
		c.NodeNotified(200*ms, "a", Gone, 0)
		c.AttemptSent(301*ms, "r", "a")
	}, "rule 3"},
	{"ready again before the attempt", func(c *Checker) {
		c.NodeNotified(0, "a", Gone, 0)
		c.NodeNotified(200*ms, "a", Ready, 0)
		c.AttemptSent(900*ms, "r", "a")
	}, ""},
}

// coldServerCases test rule 4: the budget of a cold server.
var coldServerCases = []checkerCase{
	{"within the budget and its chance excess", func(c *Checker) { sendBurst(c, ms, 15, time.Second) }, ""},
	{"over the budget and its chance excess", func(c *Checker) { sendBurst(c, ms, 16, time.Second) }, "rule 4"},
	{"spread over two windows", func(c *Checker) { sendBurst(c, ms, 24, 2*time.Second) }, ""},
	{"within the budget, almost no excess allowed", func(c *Checker) {
		c.rules.ChanceAllowance = 0.01
		sendBurst(c, ms, 7, time.Second)
	}, ""},
	{"over the budget, almost no excess allowed", func(c *Checker) {
		c.rules.ChanceAllowance = 0.01
		sendBurst(c, ms, 9, time.Second)
	}, "rule 4"},
	{"the chance excess grows only with the square root of the budget", func(c *Checker) {
		c.rules.ServerRate = 100
		sendBurst(c, ms, 98, time.Second)
	}, ""},
	{"over a large budget and its chance excess, about a fifth", func(c *Checker) {
		c.rules.ServerRate = 100
		sendBurst(c, ms, 109, time.Second)
	}, "rule 4"},
	{"a restart that counts as notified", func(c *Checker) {
		c.NodeNotified(0, "c", Ready, 0)
		c.ServerChanged(ms, "c", Ready, 6*time.Second)
		sendBurst(c, 6001*ms, 16, time.Second)
	}, "rule 4"},
	{"an older list after a restart that counts as notified", func(c *Checker) {
		c.NodeNotified(0, "c", Ready, 0)
		c.ServerChanged(ms, "c", Ready, 6*time.Second)
		sendBurst(c, 6001*ms, 8, 500*ms)
		c.NodeNotified(6501*ms, "c", Ready, 0)
		sendBurst(c, 6501*ms, 8, 500*ms)
	}, "rule 4"},
	{"a restart that does not count as notified yet", func(c *Checker) {
		c.NodeNotified(0, "c", Ready, 0)
		c.ServerChanged(ms, "c", Ready, ms)
		sendBurst(c, 4*time.Second, 40, time.Second)
	}, ""},
}
