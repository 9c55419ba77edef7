package testbed

import (
	"fmt"
	"slices"
	"time"

	"coralrelay/internal/fake"
)

// FirstLine is the first line of a session as a fake server received it.
type FirstLine struct {
	Server, Zone, Node, Key string
	At                      time.Time
}

// ClientAnswer is a final answer as a client received it.
type ClientAnswer struct {
	Node, Zone, Reply string
	StartedAt         time.Time
	Took              time.Duration
}

// Opened records a first line that a server received. It returns when the server may answer, which is
// after AnswerDelay.
func (bed *Testbed) Opened(opened fake.Opened) {
	if bed.AnswerDelay != nil {
		defer func() { time.Sleep(bed.AnswerDelay(opened.Server)) }()
	}
	bed.CheckDrain(bed.Discovery, opened.Node, opened.Server, opened.Key, opened.At)
	bed.mu.Lock()
	defer bed.mu.Unlock()
	bed.firstLines = append(bed.firstLines, FirstLine{
		Server: opened.Server,
		Zone:   bed.zones[opened.Server],
		Node:   opened.Node,
		Key:    opened.Key,
		At:     opened.At,
	})
}

// Started ignores streams, which no client of a testbed requests.
func (bed *Testbed) Started(fake.Started) {}

// FirstLines returns the first lines that were received at or after from and before until, in order of
// time.
func (bed *Testbed) FirstLines(from, until time.Time) (list []FirstLine) {
	bed.mu.Lock()
	defer bed.mu.Unlock()
	for _, line := range slices.Backward(bed.firstLines) {
		// The lines are only nearly ordered, because each is recorded shortly after its time.
		if line.At.Before(from.Add(-time.Second)) {
			break
		}
		if !line.At.Before(from) && line.At.Before(until) {
			list = append(list, line)
		}
	}
	slices.SortStableFunc(list, func(a, b FirstLine) int { return a.At.Compare(b.At) })
	return list
}

// FirstLinesInto returns the first lines of FirstLines that the servers of a zone received.
func (bed *Testbed) FirstLinesInto(zone string, from, until time.Time) []FirstLine {
	return slices.DeleteFunc(bed.FirstLines(from, until), func(line FirstLine) bool { return line.Zone != zone })
}

// ServerShares returns, for each server, the number of first lines that it received between two times
// as a multiple of the mean over all servers.
func (bed *Testbed) ServerShares(from, until time.Time) map[string]float64 {
	shares, lines := map[string]float64{}, bed.FirstLines(from, until)
	for _, line := range lines {
		shares[line.Server]++
	}
	for server := range shares {
		shares[server] /= float64(len(lines)) / float64(len(bed.AllServers()))
	}
	return shares
}

// ServedShare returns the share of served transactions among those that started between two times,
// and the number of all of them.
func (bed *Testbed) ServedShare(from, until time.Time) (share float64, all int) {
	bed.mu.Lock()
	defer bed.mu.Unlock()
	served := 0
	for _, answer := range bed.answers {
		if answer.StartedAt.Before(from) || !answer.StartedAt.Before(until) {
			continue
		}
		all++
		if answer.Reply == "UP" {
			served++
		}
	}
	return float64(served) / float64(max(all, 1)), all
}

// CheckRetryBudget checks that the retries among all first lines of the run stay within the retry
// budget, and that the run sent enough transactions for the check to mean something.
func (bed *Testbed) CheckRetryBudget() {
	bed.mu.Lock()
	sessions := map[string]bool{} // by key
	for _, line := range bed.firstLines {
		sessions[line.Key] = true
	}
	all := float64(len(bed.firstLines))
	bed.mu.Unlock()
	share := (all - float64(len(sessions))) / float64(max(len(sessions), 1))
	bed.SetMetric("retries_per_first", share)
	bed.SetMetric("transactions_sent", float64(len(sessions)))
	if limit := 2*bed.RetryRatio + 0.01; !bed.WithoutAgents && share > limit {
		bed.AddViolation("retries", fmt.Sprintf("%.3f retries a first try, at most %.3f are allowed", share, limit))
	}
	bed.RequireAtLeast("transactions_sent", 300)
}
