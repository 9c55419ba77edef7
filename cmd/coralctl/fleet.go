package main

import (
	"fmt"
	"io"
	"os"
	"time"

	"coralrelay/internal/fleet/agentapi"
)

// logOn is the value of State.Log of an agent that has a replica of the log.
const logOn = "on"

// fleetCmd implements "fleet", the queries to an agent.
type fleetCmd struct {
	State fleetStateCmd `cmd:"" help:"Show an agent's view of the record, the zones and the members, and the limits that it sets for its node."`
}

// fleetStateCmd implements "fleet state", which prints an agent's view of the fleet.
type fleetStateCmd struct{ agentFlags }

func (c *fleetStateCmd) Run() error {
	address, err := c.address()
	if err != nil {
		return err
	}
	var state agentapi.State
	if err := agentapi.Call(address, agentapi.OperatorRequest{Method: methodState}, &state); err != nil {
		return err
	}
	return printState(os.Stdout, &state, time.Now())
}

// printState prints the member with its replicated log, the zones and the members, separated by
// blank lines.
func printState(out io.Writer, state *agentapi.State, now time.Time) error {
	rows := newTable(out)
	printMember(rows, state)
	rows.printf("\n")
	printZones(rows, state, now)
	rows.printf("\n")
	printMembers(rows, state.Members, now)
	return rows.flush()
}

func printMember(rows *table, state *agentapi.State) {
	rows.printf("member\t%s\n", state.Name)
	rows.printf("zone\t%s\n", orDefault(state.Zone, "none"))
	rows.printf("record\t%s\n", state.Log)
	if state.Log == logOn {
		rows.printf("index\t%d %.12s\n", state.Index, state.Hash)
		rows.printf("role\t%s, the leader is %s\n", state.Role, orDefault(state.Leader, "not known"))
		rows.printf("heard\t%s\n", formatLastContact(state))
		rows.printf("disk\t%s\n", orDefault(state.DiskError, "good"))
	}
	if state.RejectedShare > 0 {
		rows.printf("refused\t%.0f %% of first arrivals: the remaining zones lack the capacity for them\n",
			100*state.RejectedShare)
	}
}

func formatLastContact(state *agentapi.State) string {
	const fallback = "this member acts on its last state and on what its node sees"
	switch {
	case state.LastContactMillis < 0:
		return "never: " + fallback
	case !state.WithinLease:
		return fmt.Sprintf("%d ms ago, the lease has expired: %s", state.LastContactMillis, fallback)
	}
	return fmt.Sprintf("%d ms ago", state.LastContactMillis)
}

func printZones(rows *table, state *agentapi.State, now time.Time) {
	rows.printf("FROM\tTO\tPOSTURE\tSHARE\tSINCE\tNOT BEFORE\n")
	for _, zone := range state.ZoneStatuses {
		status := zone.Status
		if zone.Step > 0 {
			status = fmt.Sprintf("%s, step %d, %.3g/s", zone.Status, zone.Step, zone.Rate)
		}
		rows.printf("%s\t%s\t%s\t%.2f\t%s\t%s\n", zone.ObservingZone, zone.Zone, status, zone.Share,
			formatRelative(now, zone.ChangedAtMillis), formatRelative(now, zone.RetryAtMillis))
	}
	if len(state.ZoneStatuses) == 0 {
		rows.printf("all zones are open\n")
	}
	for _, limit := range state.ZoneLimits {
		rows.printf("this node\t%s\tbound\t%.2f\n", limit.Zone, limit.Share)
	}
}

func printMembers(rows *table, members []agentapi.Member, now time.Time) {
	rows.printf("MEMBER\tZONE\tSTATUS\tINDEX\tLAST WORD\n")
	for _, member := range members {
		rows.printf("%s\t%s\t%s\t%d\t%s\n",
			member.Name, orDefault(member.Zone, "-"), member.Status, member.Index,
			formatRelative(now, member.ReportedAtMillis))
	}
}
