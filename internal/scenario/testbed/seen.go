package testbed

import (
	"fmt"
	"slices"
	"time"

	"coralrelay/internal/fake"
)

// Line is a first line as a feed server saw it.
type FirstLine struct {
	Server, Zone, Node, Key string
	At                      time.Time
}

// Answer is a final answer as a client saw it.
type ClientAnswer struct {
	Node, Zone, Reply string
	StartedAt         time.Time
	Took              time.Duration
}

// Opened is told of each first line.
func (w *Testbed) Opened(o fake.Opened) {
	if w.AnswerDelay != nil {
		defer func() { time.Sleep(w.AnswerDelay(o.Server)) }()
	}
	w.CheckDrain(w.Discovery, o.Node, o.Server, o.Key, o.At)
	w.mu.Lock()
	defer w.mu.Unlock()
	w.lines = append(w.lines, FirstLine{o.Server, w.zones[o.Server], o.Node, o.Key, o.At})
}

// Started is told of streams, which no client of a world asks for.
func (w *Testbed) Started(fake.Started) {}

// Lines are those that came between two times.
func (w *Testbed) FirstLines(from, until time.Time) (list []FirstLine) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, l := range slices.Backward(w.lines) {
		// They stand nearly in order: each is noted within a moment of its time.
		if l.At.Before(from.Add(-time.Second)) {
			break
		}
		if !l.At.Before(from) && l.At.Before(until) {
			list = append(list, l)
		}
	}
	slices.SortStableFunc(list, func(a, b FirstLine) int { return a.At.Compare(b.At) })
	return list
}

// Into are those of Lines that went into a zone.
func (w *Testbed) FirstLinesInto(zone string, from, until time.Time) []FirstLine {
	return slices.DeleteFunc(w.FirstLines(from, until), func(l FirstLine) bool { return l.Zone != zone })
}

// Shares is what each server got between two times, over the mean of all.
func (w *Testbed) ServerShares(from, until time.Time) map[string]float64 {
	share, list := map[string]float64{}, w.FirstLines(from, until)
	for _, l := range list {
		share[l.Server]++
	}
	for id := range share {
		share[id] /= float64(len(list)) / float64(len(w.AllServers()))
	}
	return share
}

// Served is the share of the transactions begun between two times that were served, and how
// many there were.
func (w *Testbed) ServedShare(from, until time.Time) (share float64, all int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	up := 0
	for _, a := range w.answers {
		if !a.StartedAt.Before(from) && a.StartedAt.Before(until) {
			if all++; a.Reply == "UP" {
				up++
			}
		}
	}
	return float64(up) / float64(max(all, 1)), all
}

// Retried holds all first lines of the scene to the budget of retries.
func (w *Testbed) CheckRetryBudget() {
	w.mu.Lock()
	firsts := map[string]bool{}
	for _, l := range w.lines {
		firsts[l.Key] = true
	}
	all := float64(len(w.lines))
	w.mu.Unlock()
	share := (all - float64(len(firsts))) / float64(max(len(firsts), 1))
	w.SetMetric("retries_per_first", share)
	w.SetMetric("transactions_sent", float64(len(firsts)))
	if most := 2*w.RetryRatio + 0.01; !w.WithoutAgents && share > most {
		w.AddViolation("retries", fmt.Sprintf("%.3f retries a first try, at most %.3f are allowed", share, most))
	}
	w.RequireAtLeast("transactions_sent", 300)
}
