package main

import (
	"fmt"
	"io"
	"strings"
	"text/tabwriter"
	"time"
)

// table writes rows of tab-separated columns, aligned and separated by two spaces. A write error
// is returned by flush.
type table struct{ writer *tabwriter.Writer }

func newTable(out io.Writer) *table {
	return &table{tabwriter.NewWriter(out, 0, 4, 2, ' ', 0)}
}

// printf formats one or more rows, each with its newline.
func (t *table) printf(format string, args ...any) {
	_, _ = fmt.Fprintf(t.writer, format, args...)
}

func (t *table) flush() error { return t.writer.Flush() }

// limitColumns formats limits as columns, with a dash for a negative limit, which sets no bound.
func limitColumns(limits ...float64) string {
	columns := make([]string, len(limits))
	for i, limit := range limits {
		columns[i] = "-"
		if limit >= 0 {
			columns[i] = fmt.Sprint(limit)
		}
	}
	return strings.Join(columns, "\t")
}

func joinOrDash(names []string) string { return orDefault(strings.Join(names, ","), "-") }

func orDefault(text, defaultText string) string {
	if text == "" {
		return defaultText
	}
	return text
}

// formatRelative formats a time in Unix milliseconds relative to now, with a dash for 0, which
// stands for an unset time.
func formatRelative(now time.Time, unixMillis int64) string {
	if unixMillis == 0 {
		return "-"
	}
	elapsed := now.Sub(time.UnixMilli(unixMillis)).Round(time.Second)
	if elapsed < 0 {
		return fmt.Sprintf("in %v", -elapsed)
	}
	return fmt.Sprintf("%v ago", elapsed)
}
