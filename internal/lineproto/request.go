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

// maxTimeout is the upper bound of d. Without one, the conversion to a time.Duration could
// overflow.
const maxTimeout = 24 * time.Hour

// maxLoadHint is the upper bound of h. In microseconds of work per second, the smallest unit in
// which loads are reported, it corresponds to a thousand cores.
const maxLoadHint = 1e9

// ConnectRequest is the first line that a client sends, which requests a connection.
type ConnectRequest struct {
	ID             string
	Key            string
	Class          string
	Group          string        // g: empty if the line has none
	Endpoint       string        // at: the endpoint that already serves the session; empty if none
	Tenant         string        // realm: empty if the line has none
	Timeout        time.Duration // d: how long the client waits for the final answer
	LoadHint       float64       // h
	Retry          bool          // r: the request is the client's own retry
	Returned       bool          // again: the client reconnects after a broken connection or a migration
	ResumeToken    string        // rs: a resume token, or ResumeWanted; empty if resumption is not requested
	ResumePosition string        // rp: the client's position in the stream, if it sends one

	beforeTimeout, afterTimeout string // the received line before and after the value of d
}

// ParseConnectRequest parses a first line without its line ending. The line may contain only
// printable ASCII. Unknown fields are kept in the line to forward.
func ParseConnectRequest(text []byte) (ConnectRequest, error) {
	for _, c := range text {
		if c < ' ' || c > '~' {
			return ConnectRequest{}, fmt.Errorf("first line: byte %#x is not printable ASCII", c)
		}
	}
	s := string(text)
	fields := strings.Split(s, " ")
	if len(fields) != 4 || fields[0] != connectKeyword || fields[1] == "" || fields[2] == "" {
		return ConnectRequest{}, errors.New("first line: not of the form OPEN ID KEY NAME=VALUE[,NAME=VALUE]")
	}
	request := ConnectRequest{ID: fields[1], Key: fields[2]}
	offset := len(s) - len(fields[3])
	var seen []string
	for pair := range strings.SplitSeq(fields[3], ",") {
		name, value, ok := strings.Cut(pair, "=")
		if !ok || name == "" {
			return ConnectRequest{}, fmt.Errorf("first line: %.40q is not a name=value pair", pair)
		}
		if slices.Contains(seen, name) {
			return ConnectRequest{}, fmt.Errorf("first line: field %.40q occurs twice", name)
		}
		seen = append(seen, name)
		if err := request.setField(name, value); err != nil {
			return ConnectRequest{}, fmt.Errorf("first line: %s: %w", name, err)
		}
		if name == "d" {
			request.beforeTimeout, request.afterTimeout = s[:offset+2], s[offset+len(pair):]
		}
		offset += len(pair) + 1
	}
	if request.Class == "" || request.beforeTimeout == "" {
		return ConnectRequest{}, errors.New("first line: field c or d is missing")
	}
	return request, nil
}

func (r *ConnectRequest) setField(name, value string) error {
	switch name {
	case "c":
		r.Class = value
	case "g":
		r.Group = value
	case "realm":
		r.Tenant = value
	case "rs":
		r.ResumeToken = value
	case "rp":
		r.ResumePosition = value
	case "at":
		r.Endpoint = value
	case "r":
		r.Retry = value == "1"
	case "again":
		r.Returned = value == "1"
	case "h":
		h, err := parseNumber(value)
		if err == nil && (h < 0 || h > maxLoadHint) {
			err = fmt.Errorf("%.40q is out of range", value)
		}
		r.LoadHint = h
		return err
	case "d":
		ms, err := parseNumber(value)
		if err != nil {
			return err
		}
		if ms < 0 || ms > float64(maxTimeout/time.Millisecond) {
			return fmt.Errorf("%.40q is out of range", value)
		}
		r.Timeout = time.Duration(ms * float64(time.Millisecond))
	}
	return nil // unknown fields are forwarded unchanged
}

// parseNumber parses a finite decimal number. It rejects Go's other notations, such as 0x1p4 and
// 1_0, as they are malformed to an endpoint, which receives the number as the client sent it.
func parseNumber(s string) (float64, error) {
	f, err := strconv.ParseFloat(s, 64)
	if err != nil || strings.Trim(s, "0123456789+-.eE") != "" || math.IsNaN(f) || math.IsInf(f, 0) {
		return 0, fmt.Errorf("%.40q is no number", s)
	}
	return f, nil
}

// ForwardLine returns the line to send to an endpoint: the received line with the value of d
// replaced by the time from now until deadline in milliseconds, at least 0.
func (r *ConnectRequest) ForwardLine(now, deadline time.Time) string {
	remaining := max(deadline.Sub(now).Milliseconds(), 0)
	return r.beforeTimeout + strconv.FormatInt(remaining, 10) + r.afterTimeout
}

// StripResumption replaces the resume token in the line to forward by ResumeWanted, because any
// holder of a token can present it. The forwarded line still requests a stream with positions.
func (r *ConnectRequest) StripResumption() {
	pair, tokenless := "rs="+r.ResumeToken, "rs="+ResumeWanted
	for _, part := range []*string{&r.beforeTimeout, &r.afterTimeout} {
		// The name=value list is the last field of the line, and each name occurs at most once.
		start := strings.LastIndexByte(*part, ' ') + 1
		if part == &r.afterTimeout {
			start = 0
		}
		list := strings.Split((*part)[start:], ",")
		if i := slices.Index(list, pair); i >= 0 {
			list[i] = tokenless
			*part = (*part)[:start] + strings.Join(list, ",")
		}
	}
}
