package lineproto

import (
	"bytes"
	"fmt"

	"coralrelay/balance"
)

// Reply is an endpoint's answer to a connect request.
type Reply int

// The replies. Anything else is Malformed.
const (
	Malformed Reply = iota
	Up
	Busy
	Failed
	Bye
	Moved
)

// ParseReply parses an endpoint's answer to a connect request and, where the line ends with
// one, its load report; the report is empty where there is none or it is malformed.
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

// reportOrEmpty parses a load report that a malformed text leaves empty.
func reportOrEmpty(rest []byte) balance.LoadReport {
	report, err := ParseLoadReport(rest)
	if err != nil {
		return balance.EmptyLoadReport
	}
	return report
}

// ParseStats parses the answer to STATS.
func ParseStats(text []byte) (balance.LoadReport, error) {
	keyword, rest, _ := bytes.Cut(text, []byte(" "))
	if string(keyword) != Pong {
		return balance.EmptyLoadReport, fmt.Errorf("stats: %.40q is no %s", text, Pong)
	}
	return ParseLoadReport(rest)
}

// ParseLoadReport parses a load report. Its fields come under the names that the settings'
// report.fields use at the site, or under the protocol's own; read under one spelling only,
// a report would lose fields silently. Other names are ignored. An empty text is an empty
// report; a value that is no number of 0 or more is an error.
func ParseLoadReport(text []byte) (balance.LoadReport, error) {
	report := balance.EmptyLoadReport
	if len(text) == 0 {
		return report, nil
	}
	for pair := range bytes.SplitSeq(text, []byte(",")) {
		name, value, ok := bytes.Cut(pair, []byte("="))
		if !ok {
			return balance.EmptyLoadReport, fmt.Errorf("load report: %.40q is no name and value", pair)
		}
		load, err := parseNumber(string(value))
		if err != nil || load < 0 {
			return balance.EmptyLoadReport, fmt.Errorf("load report: %s: %.40q is no load", name, value)
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
