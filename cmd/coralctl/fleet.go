package main

import (
	"errors"
	"fmt"
	"io"
	"os"
	"text/tabwriter"
	"time"

	"coralrelay/internal/fleet/agentapi"
	"coralrelay/internal/operatorconfig"
)

// An agentArg says which agent is asked.
type agentFlags struct {
	Agent  string `placeholder:"HOST:PORT" xor:"agent" required:"" help:"Where the agent answers, as fleet.agent has it."`
	Config string `placeholder:"FILE" xor:"agent" required:"" help:"The operator's file whose fleet.agent is asked."`
}

func (a *agentFlags) address() (string, error) {
	if a.Agent != "" {
		return a.Agent, nil
	}
	f, err := (&configFileArg{a.Config}).exportJSON()
	if err != nil {
		return "", err
	}
	own, err := operatorconfig.Parse(f)
	if err == nil && own.Fleet.Agent == "" {
		err = errors.New("fleet.agent: empty, there is no agent to ask")
	}
	return own.Fleet.Agent, err
}

type fleetCmd struct {
	State fleetStateCmd `cmd:"" help:"What an agent knows of the record, the zones and the members, and what it tells its node."`
}

type fleetStateCmd struct{ agentFlags }

func (c *fleetStateCmd) Run() error {
	addr, err := c.address()
	if err != nil {
		return err
	}
	var s agentapi.State
	if err := agentapi.Call(addr, agentapi.OperatorRequest{Method: "state"}, &s); err != nil {
		return err
	}
	return printState(os.Stdout, &s, time.Now())
}

func printState(out io.Writer, s *agentapi.State, now time.Time) error {
	w := tabwriter.NewWriter(out, 0, 4, 2, ' ', 0)
	fmt.Fprintf(w, "member\t%s\n", s.Name)
	fmt.Fprintf(w, "zone\t%s\n", orDefault(s.Zone, "none"))
	fmt.Fprintf(w, "record\t%s\n", s.Log)
	if s.Log == "on" {
		fmt.Fprintf(w, "index\t%d %.12s\n", s.Index, s.Hash)
		fmt.Fprintf(w, "role\t%s, the leader is %s\n", s.Role, orDefault(s.Leader, "not known"))
		fmt.Fprintf(w, "heard\t%s\n", formatLastContact(s))
		fmt.Fprintf(w, "disk\t%s\n", orDefault(s.DiskError, "good"))
	}
	if s.RejectedShare > 0 {
		fmt.Fprintf(w, "refused\t%.0f %% of first arrivals: the zones that stay can't carry them\n", 100*s.RejectedShare)
	}
	fmt.Fprintln(w)
	fmt.Fprintln(w, "FROM\tTO\tPOSTURE\tSHARE\tSINCE\tNOT BEFORE")
	for _, z := range s.ZoneStatuses {
		posture := z.Status
		if z.Step > 0 {
			posture = fmt.Sprintf("%s, step %d, %.3g/s", z.Status, z.Step, z.Rate)
		}
		fmt.Fprintf(w, "%s\t%s\t%s\t%.2f\t%s\t%s\n", z.ObservingZone, z.Zone, posture, z.Share, formatRelative(now, z.ChangedAtMillis), formatRelative(now, z.RetryAtMillis))
	}
	if len(s.ZoneStatuses) == 0 {
		fmt.Fprintln(w, "all zones are open")
	}
	for _, b := range s.ZoneLimits {
		fmt.Fprintf(w, "this node\t%s\tbound\t%.2f\n", b.Zone, b.Share)
	}
	fmt.Fprintln(w)
	fmt.Fprintln(w, "MEMBER\tZONE\tSTATUS\tINDEX\tLAST WORD")
	for _, m := range s.Members {
		fmt.Fprintf(w, "%s\t%s\t%s\t%d\t%s\n", m.Name, orDefault(m.Zone, "-"), m.Status, m.Index, formatRelative(now, m.ReportedAtMillis))
	}
	return w.Flush()
}

func formatLastContact(s *agentapi.State) string {
	switch {
	case s.LastContactMillis < 0:
		return "never: this member acts on its last state and on what its node sees"
	case !s.WithinLease:
		return fmt.Sprintf("%d ms ago: too long, this member acts on its last state and on what its node sees", s.LastContactMillis)
	}
	return fmt.Sprintf("%d ms ago", s.LastContactMillis)
}

// ago words a time in Unix ms for people; 0 is none.
func formatRelative(now time.Time, ms int64) string {
	if ms == 0 {
		return "-"
	}
	d := now.Sub(time.UnixMilli(ms)).Round(time.Second)
	if d < 0 {
		return fmt.Sprintf("in %v", -d)
	}
	return fmt.Sprintf("%v ago", d)
}

func orDefault(s, other string) string {
	if s == "" {
		return other
	}
	return s
}
