package main

import (
	"fmt"
	"io"
	"strings"
	"text/tabwriter"
	"time"
)

// table prints rows of tab-separated columns, which it aligns, two blanks apart. A failed
// write shows when it is flushed.
type table struct{ writer *tabwriter.Writer }

func newTable(out io.Writer) *table {
	return &table{tabwriter.NewWriter(out, 0, 4, 2, ' ', 0)}
}

// printf adds what fmt.Printf would print: a row or several, each with its newline.
func (t *table) printf(format string, args ...any) {
	_, _ = fmt.Fprintf(t.writer, format, args...)
}

func (t *table) flush() error { return t.writer.Flush() }

// limitColumns formats limits as columns; a negative one, which is no limit, is a dash.
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

func orDefault(text, otherwise string) string {
	if text == "" {
		return otherwise
	}
	return text
}

// formatRelative formats a time in Unix milliseconds relative to now; 0, which is no time,
// is a dash.
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
