// Package lineproto is the platform's line protocol and nothing else: connect requests,
// final answers, load reports, and the lines of resumable streams. It decides nothing, does
// no I/O and starts no goroutine. Its errors say which field of which line was malformed;
// no caller tells them apart.
package lineproto

// Keywords of the protocol.
const (
	Ping  = "PING"
	Pong  = "PONG"
	Stats = "STATS"
	Error = "ERR"
	Move  = "MOVE"

	connectKeyword = "OPEN"
	upKeyword      = "UP"
	busyKeyword    = "BUSY"
	byeKeyword     = "BYE"
	loadPrefix     = "LOAD "
)
