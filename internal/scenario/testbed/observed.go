package testbed

import (
	"fmt"
	"slices"
	"time"

	"coralrelay/internal/fake"
)

// FirstLine is the first line of a session as a fake server saw it.
type FirstLine struct {
	Server, Zone, Node, Key string
	At                      time.Time
}

// ClientAnswer is a final answer as a client saw it.
type ClientAnswer struct {
	Node, Zone, Reply string
	StartedAt         time.Time
	Took              time.Duration
}

// Opened is called by a server for each first line; it returns when the server may answer.
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

// Started is called for streams, which no client of a testbed asks for.
func (bed *Testbed) Started(fake.Started) {}

// FirstLines returns those that came between two times, in order.
func (bed *Testbed) FirstLines(from, until time.Time) (list []FirstLine) {
	bed.mu.Lock()
	defer bed.mu.Unlock()
	for _, line := range slices.Backward(bed.firstLines) {
		// They are nearly in order: each is noted within a moment of its time.
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

// FirstLinesInto returns those of FirstLines that went into a zone.
func (bed *Testbed) FirstLinesInto(zone string, from, until time.Time) []FirstLine {
	return slices.DeleteFunc(bed.FirstLines(from, until), func(line FirstLine) bool { return line.Zone != zone })
}

// ServerShares returns what each server got between two times, over the mean of all.
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

// ServedShare returns the share of the transactions begun between two times that were served, and
// how many there were.
func (bed *Testbed) ServedShare(from, until time.Time) (share float64, all int) {
	bed.mu.Lock()
	defer bed.mu.Unlock()
	up := 0
	for _, answer := range bed.answers {
		if answer.StartedAt.Before(from) || !answer.StartedAt.Before(until) {
			continue
		}
		all++
		if answer.Reply == "UP" {
			up++
		}
	}
	return float64(up) / float64(max(all, 1)), all
}

// CheckRetryBudget holds all first lines of the run to the retry budget.
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
