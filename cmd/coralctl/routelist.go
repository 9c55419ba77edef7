package main

import (
	"fmt"
	"io"
	"os"
	"strings"

	"coralrelay/internal/fleet/account"
)

// routeListCmd implements "route list", which prints routes in the order of their precedence.
type routeListCmd struct {
	agentFlags
	Subtree string `name:"below" help:"List only the routes of a subtree."`
}

func (c *routeListCmd) Run() error {
	accounts, err := c.fetchAccounts()
	if err != nil {
		return err
	}
	return printRoutes(os.Stdout, accounts, c.Subtree)
}

// printRoutes prints the routes of a subtree, or of all accounts if subtree is empty.
func printRoutes(out io.Writer, accounts account.State, subtree string) error {
	rows := newTable(out)
	rows.printf("ROUTE\tMATCHES\tGOES TO\tOPEN\tRATE\tRETRIES\tPROBES\tCONTRACT\n")
	for _, route := range accounts.RoutesByPrecedence() {
		if !inSubtree(route.Owner, subtree) {
			continue
		}
		limits := route.Limits
		rows.printf("%s\t%s\t%s\t%s\t%s\n",
			route.Path(), formatMatch(route.Match), formatZoneShares(route.ZoneShares),
			limitColumns(limits.Connections, limits.SetupRate, limits.RetryRate, limits.ProbeRate),
			orDefault(route.Contract, "-"))
	}
	return rows.flush()
}

func inSubtree(path, subtree string) bool {
	return subtree == "" || path == subtree || strings.HasPrefix(path, subtree+"/")
}

func formatZoneShares(shares []account.ZoneShare) string {
	formatted := make([]string, len(shares))
	for i, share := range shares {
		formatted[i] = fmt.Sprintf("%s %v%%", share.Zone, share.Percent)
	}
	return joinOrDash(formatted)
}

func formatMatch(match account.Match) string {
	var conditions []string
	for _, field := range []struct{ name, value string }{
		{"class", match.Class},
		{"tenant", match.Tenant},
		{"group", match.Group},
	} {
		if field.value != "" {
			conditions = append(conditions, field.name+" "+field.value)
		}
	}
	if match.HashFrom != 0 || match.HashTo != 0 {
		conditions = append(conditions, fmt.Sprintf("hash %v to %v", match.HashFrom, match.HashTo))
	}
	if match.Returning != nil {
		conditions = append(conditions, fmt.Sprintf("returned %v", *match.Returning))
	}
	if match.Retry != nil {
		conditions = append(conditions, fmt.Sprintf("retry %v", *match.Retry))
	}
	return orDefault(strings.Join(conditions, ", "), "all")
}
