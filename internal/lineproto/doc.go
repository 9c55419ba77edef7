// Package lineproto implements the platform's line protocol: connect requests, final answers, load
// reports, and the lines of resumable streams. It only parses and formats: it makes no decisions,
// does no I/O and starts no goroutines. Its errors name the malformed field; callers do not
// distinguish between them.
package lineproto

// The keywords of the protocol.
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
