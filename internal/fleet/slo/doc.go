// Package slo keeps service level objectives on response times by traffic steering: it decides
// which regions serve which contract. It is a pure state machine: it does no I/O, reads no clock
// and starts no goroutine. docs/notes/promises.md weighs the options and derives the bounds.
//
// A node counts response times in a [Recorder], which yields a [Sample] for each interval. An
// [Aggregator] merges the samples of all members and hands out the [Observation] values of each
// interval that is over. The leader's [Controller] weighs them and proposes a [Change] of the
// replicated [State]: which share of a contract's sessions goes to which region.
//
// Errors are plain: [State.Apply] and [Aggregator.Merge] say why a change or a sample is
// rejected, and then nothing has changed.
package slo
