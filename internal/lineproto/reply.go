package lineproto

import (
	"bytes"
	"fmt"

	"coralrelay/balance"
)

// Reply is an endpoint's answer to a connect request.
type Reply int

// The replies. Any other line is Malformed.
const (
	Malformed Reply = iota
	Up
	Busy
	Failed
	Bye
	Moved
)

// ParseReply parses an endpoint's answer to a connect request and the load report at the end of the
// line. The report is empty if it is missing or malformed.
func ParseReply(text []byte) (Reply, balance.LoadReport) {
	keyword, rest, _ := bytes.Cut(text, []byte(" "))
	switch string(keyword) {
	case upKeyword:
		if len(rest) > 0 {
			return Up, balance.EmptyLoadReport
		}
	case busyKeyword:
		return Busy, reportOrEmpty(rest)
	case Error:
		return Failed, reportOrEmpty(rest)
	case byeKeyword:
		return Bye, reportOrEmpty(rest)
	case Move:
		return Moved, balance.EmptyLoadReport
	}
	return Malformed, balance.EmptyLoadReport
}

// reportOrEmpty parses a load report and returns an empty one if the text is malformed.
func reportOrEmpty(rest []byte) balance.LoadReport {
	report, err := ParseLoadReport(rest)
	if err != nil {
		return balance.EmptyLoadReport
	}
	return report
}

// ParseStats parses an endpoint's answer to STATS.
func ParseStats(text []byte) (balance.LoadReport, error) {
	keyword, rest, _ := bytes.Cut(text, []byte(" "))
	if string(keyword) != Pong {
		return balance.EmptyLoadReport, fmt.Errorf("stats: answer %.40q is not a %s line", text, Pong)
	}
	return ParseLoadReport(rest)
}

// ParseLoadReport parses a load report. It knows two fixed names of a field, the protocol's own and
// the one that the platform's settings list in report.fields, as a parser of only one name would
// silently lose fields. Unknown names are ignored. An empty text is an empty report; a value that
// is not a number of 0 or more is an error.
func ParseLoadReport(text []byte) (balance.LoadReport, error) {
	report := balance.EmptyLoadReport
	if len(text) == 0 {
		return report, nil
	}
	for pair := range bytes.SplitSeq(text, []byte(",")) {
		name, value, ok := bytes.Cut(pair, []byte("="))
		if !ok {
			return balance.EmptyLoadReport, fmt.Errorf("load report: %.40q is not a name=value pair", pair)
		}
		load, err := parseNumber(string(value))
		if err != nil || load < 0 {
			return balance.EmptyLoadReport, fmt.Errorf("load report: %s: %.40q is not a number of 0 or more",
				name, value)
		}
		switch string(name) {
		case "inflight", "outstanding":
			report.Inflight = load
		case "util", "utilization":
			report.CPUUtilization = load
		case "latency_ms", "recent_ms":
			report.LatencyMillis = load
		case "x0":
			report.Utilization = load
		}
	}
	return report, nil
}
