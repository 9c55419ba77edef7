package simproto

import (
	"encoding/json"
	"fmt"
	"strconv"
	"time"

	"coralrelay/balance"
)

// AppendAction appends an action of an instance as a line to buf and returns the result.
func AppendAction(buf []byte, instance int, a balance.Action) []byte {
	switch a := a.(type) {
	case balance.Attempt:
		buf = appendID(appendHead(buf, "Assign", instance), a.ID)
		buf = appendString(append(buf, `,"server":`...), a.Server)
		if a.Timeout != 0 {
			buf = appendSeconds(append(buf, `,"timeout":`...), a.Timeout)
		}
	case balance.Reject:
		buf = appendID(appendHead(buf, "Refuse", instance), a.ID)
		if a.RetryAfter > 0 {
			buf = appendSeconds(append(buf, `,"pause":`...), a.RetryAfter)
		}
	case balance.Fail:
		buf = appendID(appendHead(buf, "Abort", instance), a.ID)
	case balance.Migrate:
		buf = appendID(appendHead(buf, "Evict", instance), a.ID)
	case balance.Probe:
		buf = appendString(append(appendHead(buf, "HealthCheck", instance), `,"server":`...), a.Server)
	case balance.SetTimer:
		buf = appendSeconds(append(appendHead(buf, "SetAlarm", instance), `,"fromNow":`...), a.Delay)
		buf = strconv.AppendUint(append(buf, `,"ctx":`...), a.Token, 10)
	case balance.Subscribe:
		buf = append(appendHead(buf, "KeepInformed", instance), `,"enable":true`...)
	case balance.Log:
		buf = appendString(append(appendHead(buf, "Log", instance), `,"words":`...), a.Text)
	default:
		panic(fmt.Sprintf("simproto: unknown action %T", a))
	}
	return append(buf, "}\n"...)
}

// AppendError appends the line that says that an instance has failed to decide, and why.
func AppendError(buf []byte, instance int, reason string) []byte {
	buf = appendString(append(appendHead(buf, "Broken", instance), `,"words":`...), reason)
	return append(buf, "}\n"...)
}

// AppendDone appends the line that closes the reply to a batch.
func AppendDone(buf []byte, round int64) []byte {
	buf = strconv.AppendInt(append(buf, `{"cmd":"Ok","round":`...), round, 10)
	return append(buf, "}\n"...)
}

// appendHead opens a message of an instance.
func appendHead(buf []byte, cmd string, instance int) []byte {
	buf = append(append(buf, `{"cmd":"`...), cmd...)
	return strconv.AppendInt(append(buf, `","who":`...), int64(instance), 10)
}

func appendID(buf []byte, id string) []byte { return appendString(append(buf, `,"ref":`...), id) }

// appendSeconds appends a duration in seconds, to the microsecond.
func appendSeconds(buf []byte, d time.Duration) []byte {
	return strconv.AppendFloat(buf, d.Seconds(), 'f', 6, 64)
}

// appendString appends s as a JSON string. Ids are plain words; anything else takes the
// long way.
func appendString(buf []byte, s string) []byte {
	for i := range len(s) {
		if c := s[i]; c < ' ' || c > '~' || c == '"' || c == '\\' {
			quoted, _ := json.Marshal(s) // a string always marshals
			return append(buf, quoted...)
		}
	}
	return append(append(append(buf, '"'), s...), '"')
}
