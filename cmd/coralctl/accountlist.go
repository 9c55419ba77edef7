package main

import (
	"io"
	"os"

	"coralrelay/internal/fleet/account"
)

// accountListCmd implements "account list", which prints the accounts, teams and grants.
type accountListCmd struct{ agentFlags }

func (c *accountListCmd) Run() error {
	accounts, err := c.fetchAccounts()
	if err != nil {
		return err
	}
	return printAccounts(os.Stdout, accounts)
}

// printAccounts prints a table of the accounts and teams, followed by a table of the grants.
func printAccounts(out io.Writer, accounts account.State) error {
	rows := newTable(out)
	rows.printf("version %d\n\n", accounts.Version)
	rows.printf("PATH\tOPEN\tRATE\tRETRIES\tPROBES\tROUTES\tTEAMS\tOVERCOMMIT\tZONES\tTENANTS\tCLASSES\n")
	for _, path := range accounts.NodePaths() {
		node := accounts.Nodes[path]
		limits, scope := node.Limits, node.Scope
		rows.printf("%s\t%s\t%v\t%s\t%s\t%s\n", path,
			limitColumns(limits.Connections, limits.SetupRate, limits.RetryRate, limits.ProbeRate,
				float64(limits.Routes), float64(limits.Teams)),
			max(node.Overcommit, 1),
			joinOrDash(scope.Zones), joinOrDash(scope.Tenants), joinOrDash(scope.Classes))
	}
	rows.printf("\nKEY\tPATH\tACTS\tDEPTH\tGIVEN BY\n")
	for _, grant := range accounts.SortedGrants() {
		rows.printf("%s\t%s\t%s\t%d\t%s\n",
			grant.Key, grant.Path, joinOrDash(grant.Permissions), grant.DelegationDepth, grant.GrantedBy)
	}
	return rows.flush()
}
