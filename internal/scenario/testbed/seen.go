package testbed

import (
	"fmt"
	"slices"
	"time"

	"coralrelay/internal/fake"
)

// Line is a first line as a feed server saw it.
type Line struct {
	Server, Zone, Node, Key string
	At                      time.Time
}

// Answer is a final answer as a client saw it.
type Answer struct {
	Node, Zone, Word string
	Begun            time.Time
	Took             time.Duration
}

// Opened is told of each first line.
func (w *World) Opened(o fake.Opened) {
	if w.Slow != nil {
		defer func() { time.Sleep(w.Slow(o.Server)) }()
	}
	w.HoldDrain(w.Roster, o.Node, o.Server, o.Key, o.At)
	w.mu.Lock()
	defer w.mu.Unlock()
	w.lines = append(w.lines, Line{o.Server, w.zones[o.Server], o.Node, o.Key, o.At})
}

// Started is told of streams, which no client of a world asks for.
func (w *World) Started(fake.Started) {}

// Lines are those that came between two times.
func (w *World) Lines(from, until time.Time) (list []Line) {
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
	slices.SortStableFunc(list, func(a, b Line) int { return a.At.Compare(b.At) })
	return list
}

// Into are those of Lines that went into a zone.
func (w *World) Into(zone string, from, until time.Time) []Line {
	return slices.DeleteFunc(w.Lines(from, until), func(l Line) bool { return l.Zone != zone })
}

// Shares is what each server got between two times, over the mean of all.
func (w *World) Shares(from, until time.Time) map[string]float64 {
	share, list := map[string]float64{}, w.Lines(from, until)
	for _, l := range list {
		share[l.Server]++
	}
	for id := range share {
		share[id] /= float64(len(list)) / float64(len(w.All()))
	}
	return share
}

// Served is the share of the transactions begun between two times that were served, and how
// many there were.
func (w *World) Served(from, until time.Time) (share float64, all int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	up := 0
	for _, a := range w.answers {
		if !a.Begun.Before(from) && a.Begun.Before(until) {
			if all++; a.Word == "UP" {
				up++
			}
		}
	}
	return float64(up) / float64(max(all, 1)), all
}

// Retried holds all first lines of the scene to the budget of retries.
func (w *World) Retried() {
	w.mu.Lock()
	firsts := map[string]bool{}
	for _, l := range w.lines {
		firsts[l.Key] = true
	}
	all := float64(len(w.lines))
	w.mu.Unlock()
	share := (all - float64(len(firsts))) / float64(max(len(firsts), 1))
	w.Set("retries_per_first", share)
	w.Set("transactions_sent", float64(len(firsts)))
	if most := 2*w.Retries + 0.01; !w.Alone && share > most {
		w.Broken("retries", fmt.Sprintf("%.3f retries a first try, at most %.3f are allowed", share, most))
	}
	w.Least("transactions_sent", 300)
}
