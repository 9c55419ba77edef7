// Package line is the platform's protocol and nothing else: first lines, final
// answers, load reports. It decides nothing and does no I/O.
package lineproto

import (
	"bytes"
	"errors"
	"fmt"
	"math"
	"slices"
	"strconv"
	"strings"
	"time"

	"coralrelay/balance"
)

// The words of the protocol.
const (
	Ping  = "PING"
	Pong  = "PONG"
	Stats = "STATS"
	Error = "ERR"
	Move  = "MOVE"
)

// longestWait bounds d; beyond it a duration would overflow.
const maxPatience = 24 * time.Hour

// heaviest bounds h. In microseconds of work a second, the finest unit that loads come
// in, it is a thousand cores.
const maxLoadHint = 1e9

// Open is a first line that opens a connection.
type ConnectRequest struct {
	ID, Key, Class, Group, Endpoint string
	Tenant                          string        // the tenant; empty where the line names none
	Patience                        time.Duration // d: how long the caller waits for UP
	LoadHint                        float64
	Retry, Returned                 bool
	ResumeToken                     string // rs: a resume token, or 1 to be given one; empty if not asked for
	ResumePosition                  string // rp: the position that the caller has, if it says so
	beforePatience, afterPatience   string // the line as it came, before and after d's value
}

// ParseOpen reads a first line. The line may only hold printable ASCII.
func ParseConnectRequest(text []byte) (ConnectRequest, error) {
	for _, c := range text {
		if c < ' ' || c > '~' {
			return ConnectRequest{}, fmt.Errorf("first line: byte %#x", c)
		}
	}
	s := string(text)
	fields := strings.Split(s, " ")
	if len(fields) != 4 || fields[0] != "OPEN" || fields[1] == "" || fields[2] == "" {
		return ConnectRequest{}, errors.New("first line: want OPEN, id, key and a list of values")
	}
	request := ConnectRequest{ID: fields[1], Key: fields[2]}
	offset := len(s) - len(fields[3])
	var seen []string
	for pair := range strings.SplitSeq(fields[3], ",") {
		name, value, ok := strings.Cut(pair, "=")
		if !ok || name == "" {
			return ConnectRequest{}, fmt.Errorf("first line: %.40q is no name and value", pair)
		}
		if slices.Contains(seen, name) {
			return ConnectRequest{}, fmt.Errorf("first line: %.40q given twice", name)
		}
		seen = append(seen, name)
		if err := request.setField(name, value); err != nil {
			return ConnectRequest{}, fmt.Errorf("first line: %s: %w", name, err)
		}
		if name == "d" {
			request.beforePatience, request.afterPatience = s[:offset+2], s[offset+len(pair):]
		}
		offset += len(pair) + 1
	}
	if request.Class == "" || request.beforePatience == "" {
		return ConnectRequest{}, errors.New("first line: c or d is missing")
	}
	return request, nil
}

func (o *ConnectRequest) setField(name, value string) error {
	switch name {
	case "c":
		o.Class = value
	case "g":
		o.Group = value
	case "realm":
		o.Tenant = value
	case "rs":
		o.ResumeToken = value
	case "rp":
		o.ResumePosition = value
	case "at":
		o.Endpoint = value
	case "r":
		o.Retry = value == "1"
	case "again":
		o.Returned = value == "1"
	case "h":
		h, err := parseNumber(value)
		if err == nil && (h < 0 || h > maxLoadHint) {
			err = fmt.Errorf("%.40q is out of range", value)
		}
		o.LoadHint = h
		return err
	case "d":
		ms, err := parseNumber(value)
		if err != nil {
			return err
		}
		if ms < 0 || ms > float64(maxPatience/time.Millisecond) {
			return fmt.Errorf("%.40q is out of range", value)
		}
		o.Patience = time.Duration(ms * float64(time.Millisecond))
	}
	return nil // further figures go on as they are
}

// number reads a finite decimal number. Go's other forms, such as 0x1p4 and 1_0,
// are none to a next hop that gets the line as it came.
func parseNumber(s string) (float64, error) {
	f, err := strconv.ParseFloat(s, 64)
	if err != nil || strings.Trim(s, "0123456789+-.eE") != "" || math.IsNaN(f) || math.IsInf(f, 0) {
		return 0, fmt.Errorf("%.40q is no number", s)
	}
	return f, nil
}

// Forward returns the line for a next hop: as it came, but for d, which tells
// the time that is left.
func (o *ConnectRequest) ForwardLine(now, deadline time.Time) string {
	left := max(deadline.Sub(now).Milliseconds(), 0)
	return o.beforePatience + strconv.FormatInt(left, 10) + o.afterPatience
}

// Conceal takes a resume token out of the line that goes to next hops: whoever has
// a token can present it. What stays asks for a stream with positions.
func (o *ConnectRequest) StripResumption() {
	pair, plain := "rs="+o.ResumeToken, "rs="+ResumeWanted
	for _, part := range []*string{&o.beforePatience, &o.afterPatience} {
		// The list is the last word, and its names come once: the pair stands there
		// behind the list's begin or a comma.
		at := strings.LastIndexByte(*part, ' ') + 1
		if part == &o.afterPatience {
			at = 0
		}
		list := strings.Split((*part)[at:], ",")
		if i := slices.Index(list, pair); i >= 0 {
			list[i] = plain
			*part = (*part)[:at] + strings.Join(list, ",")
		}
	}
}

// Reply is a next hop's first answer.
type Reply int

// The replies. Anything else is Malformed.
const (
	Malformed Reply = iota
	Up
	Busy
	ErrReply
	Bye
	Moved
)

// ParseReply reads a next hop's first answer and, where it ends with one, its
// load report.
func ParseReply(text []byte) (Reply, balance.LoadReport) {
	keyword, rest, _ := bytes.Cut(text, []byte(" "))
	switch string(keyword) {
	case "UP":
		if len(rest) > 0 {
			return Up, balance.EmptyLoadReport
		}
	case "BUSY":
		return Busy, reportOrEmpty(rest)
	case Error:
		return ErrReply, reportOrEmpty(rest)
	case "BYE":
		return Bye, reportOrEmpty(rest)
	case Move:
		return Moved, balance.EmptyLoadReport
	}
	return Malformed, balance.EmptyLoadReport
}

func reportOrEmpty(rest []byte) balance.LoadReport {
	l, err := ParseLoadReport(rest)
	if err != nil {
		return balance.EmptyLoadReport
	}
	return l
}

// ParseStats reads the answer to STATS.
func ParseStats(text []byte) (balance.LoadReport, error) {
	keyword, rest, _ := bytes.Cut(text, []byte(" "))
	if string(keyword) != Pong {
		return balance.EmptyLoadReport, fmt.Errorf("stats: %.40q is no %s", text, Pong)
	}
	return ParseLoadReport(rest)
}

// ParseReport reads a load report. Its fields come under the names that the
// settings' report.fields use at the site, or under the protocol's own; read
// under one spelling only, a report loses fields without a word. Others are
// passed over.
func ParseLoadReport(text []byte) (balance.LoadReport, error) {
	l := balance.EmptyLoadReport
	if len(text) == 0 {
		return l, nil
	}
	for pair := range bytes.SplitSeq(text, []byte(",")) {
		name, value, ok := bytes.Cut(pair, []byte("="))
		if !ok {
			return balance.EmptyLoadReport, fmt.Errorf("load report: %.40q is no name and value", pair)
		}
		v, err := parseNumber(string(value))
		if err != nil || v < 0 {
			return balance.EmptyLoadReport, fmt.Errorf("load report: %s: %.40q is no load", name, value)
		}
		switch string(name) {
		case "inflight", "outstanding":
			l.Inflight = v
		case "util", "utilization":
			l.CPUUtilization = v
		case "latency_ms", "recent_ms":
			l.LatencyMillis = v
		case "x0":
			l.Utilization = v
		}
	}
	return l, nil
}
