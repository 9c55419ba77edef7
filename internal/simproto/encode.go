package simproto

import (
	"encoding/json"
	"fmt"
	"strconv"
	"time"

	"coralrelay/balance"
)

// AppendAction appends an action of an instance to buf as a line and returns the extended buffer.
func AppendAction(buf []byte, instance int, a balance.Action) []byte {
	switch a := a.(type) {
	case balance.Attempt:
		buf = appendID(appendHeader(buf, "Assign", instance), a.ID)
		buf = appendString(append(buf, `,"server":`...), a.Server)
		if a.Timeout != 0 {
			buf = appendSeconds(append(buf, `,"timeout":`...), a.Timeout)
		}
	case balance.Reject:
		buf = appendID(appendHeader(buf, "Refuse", instance), a.ID)
		if a.RetryAfter > 0 {
			buf = appendSeconds(append(buf, `,"pause":`...), a.RetryAfter)
		}
	case balance.Fail:
		buf = appendID(appendHeader(buf, "Abort", instance), a.ID)
	case balance.Migrate:
		buf = appendID(appendHeader(buf, "Evict", instance), a.ID)
	case balance.Probe:
		buf = appendString(append(appendHeader(buf, "HealthCheck", instance), `,"server":`...), a.Server)
	case balance.SetTimer:
		buf = appendSeconds(append(appendHeader(buf, "SetAlarm", instance), `,"fromNow":`...), a.Delay)
		buf = strconv.AppendUint(append(buf, `,"ctx":`...), a.Token, 10)
	case balance.Subscribe:
		buf = append(appendHeader(buf, "KeepInformed", instance), `,"enable":true`...)
	case balance.Log:
		buf = appendString(append(appendHeader(buf, "Log", instance), `,"words":`...), a.Text)
	default:
		panic(fmt.Sprintf("simproto: unknown action %T", a))
	}
	return append(buf, "}\n"...)
}

// AppendError appends a line that reports that an instance has failed, with the reason.
func AppendError(buf []byte, instance int, reason string) []byte {
	buf = appendString(append(appendHeader(buf, "Broken", instance), `,"words":`...), reason)
	return append(buf, "}\n"...)
}

// AppendDone appends the line that ends the reply to a batch.
func AppendDone(buf []byte, round int64) []byte {
	buf = strconv.AppendInt(append(buf, `{"cmd":"Ok","round":`...), round, 10)
	return append(buf, "}\n"...)
}

// appendHeader appends the beginning of a message of an instance.
func appendHeader(buf []byte, cmd string, instance int) []byte {
	buf = append(append(buf, `{"cmd":"`...), cmd...)
	return strconv.AppendInt(append(buf, `","who":`...), int64(instance), 10)
}

func appendID(buf []byte, id string) []byte { return appendString(append(buf, `,"ref":`...), id) }

// appendSeconds appends a duration in seconds, rounded to microseconds.
func appendSeconds(buf []byte, d time.Duration) []byte {
	return strconv.AppendFloat(buf, d.Seconds(), 'f', 6, 64)
}

// appendString appends s as a JSON string. Printable ASCII without quotes and backslashes, as in
// ids, needs no escaping; only other strings are marshaled by encoding/json.
func appendString(buf []byte, s string) []byte {
	for i := range len(s) {
		if c := s[i]; c < ' ' || c > '~' || c == '"' || c == '\\' {
			quoted, _ := json.Marshal(s) // marshaling a string never fails
			return append(buf, quoted...)
		}
	}
	return append(append(append(buf, '"'), s...), '"')
}
