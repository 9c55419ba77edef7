package agentapi

// ContractList lists the contracts that a node measures. The agent sends it when its version differs
// from the version that the node reports.
type ContractList struct {
	Version   uint64     `json:"version"`
	Contracts []Contract `json:"contracts"`
}

// Contract is the part of a service level contract that a node needs to measure response times.
type Contract struct {
	Name             string `json:"name"`
	Priority         int    `json:"priority"`
	MeasuresMessages bool   `json:"messages,omitempty"` // the objective applies to messages, not to set-ups
}
