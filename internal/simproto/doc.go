// Package simproto translates the simulator's lines of JSON into events of package balance,
// and its actions into lines. It decides nothing and starts no goroutine. Its errors say at
// which batch and message the input was malformed; the end of the input is io.EOF.
package simproto
