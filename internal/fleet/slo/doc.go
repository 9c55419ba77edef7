// Package slo maintains service level objectives on response times by traffic steering: it decides
// which regions serve which contract. It is a pure state machine: it does no I/O, reads no clock
// and starts no goroutine. docs/notes/promises.md compares the options and derives the bounds.
//
// A node records response times in a [Recorder], which returns a [Sample] for each interval. An
// [Aggregator] merges the samples of all members and returns the [Observation] values of each
// closed interval. The leader's [Controller] evaluates them and proposes a [Change] of the
// replicated [State]: which share of a contract's sessions goes to which region.
//
// [State.Apply] and [Aggregator.Merge] return a plain error with the reason why a change or a
// sample is rejected, and then change nothing.
package slo
