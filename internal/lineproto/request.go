package lineproto

import (
	"errors"
	"fmt"
	"math"
	"slices"
	"strconv"
	"strings"
	"time"
)

// maxPatience bounds d; beyond it a duration would overflow.
const maxPatience = 24 * time.Hour

// maxLoadHint bounds h. In microseconds of work a second, the finest unit that loads come
// in, it is a thousand cores.
const maxLoadHint = 1e9

// ConnectRequest is a client's first line, which asks for a connection.
type ConnectRequest struct {
	ID             string
	Key            string
	Class          string
	Group          string        // empty where the line names none
	Endpoint       string        // at: the endpoint that already serves it; empty if none
	Tenant         string        // realm; empty where the line names none
	Timeout       time.Duration // d: how long the client waits for the final answer
	LoadHint       float64       // h
	Retry          bool          // r: the client's own repeat
	Returned       bool          // again: the client returns after a break or a move
	ResumeToken    string        // rs: a resume token, or ResumeWanted; empty if not asked for
	ResumePosition string        // rp: the position that the client has, if it says so

	beforePatience, afterPatience string // the line as it came, before and after d's value
}

// ParseConnectRequest parses a first line, without its line end. It may only hold printable
// ASCII; names that it does not know are left as they are.
func ParseConnectRequest(text []byte) (ConnectRequest, error) {
	for _, c := range text {
		if c < ' ' || c > '~' {
			return ConnectRequest{}, fmt.Errorf("first line: byte %#x", c)
		}
	}
	s := string(text)
	fields := strings.Split(s, " ")
	if len(fields) != 4 || fields[0] != connectKeyword || fields[1] == "" || fields[2] == "" {
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
		o.Timeout = time.Duration(ms * float64(time.Millisecond))
	}
	return nil // names that are not known here are forwarded as they are
}

// parseNumber parses a finite decimal number. Go's other forms, such as 0x1p4 and 1_0, are
// malformed to an endpoint that gets the line as it came.
func parseNumber(s string) (float64, error) {
	f, err := strconv.ParseFloat(s, 64)
	if err != nil || strings.Trim(s, "0123456789+-.eE") != "" || math.IsNaN(f) || math.IsInf(f, 0) {
		return 0, fmt.Errorf("%.40q is no number", s)
	}
	return f, nil
}

// ForwardLine returns the line for an endpoint: as it came, but for d, which is the time
// left until the deadline in milliseconds, at least 0.
func (o *ConnectRequest) ForwardLine(now, deadline time.Time) string {
	left := max(deadline.Sub(now).Milliseconds(), 0)
	return o.beforePatience + strconv.FormatInt(left, 10) + o.afterPatience
}

// StripResumption takes a resume token out of the line that goes to endpoints: whoever has
// a token can present it. What stays asks for a stream with positions.
func (o *ConnectRequest) StripResumption() {
	pair, plain := "rs="+o.ResumeToken, "rs="+ResumeWanted
	for _, part := range []*string{&o.beforePatience, &o.afterPatience} {
		// The list is the last field, and each of its names comes once.
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
