// Package simproto translates the simulator's JSON lines into events of package balance, and the
// actions of that package into JSON lines. It makes no decisions and starts no goroutine. Its errors
// name the batch and the message at which the input is malformed; the end of the input is io.EOF.
package simproto
