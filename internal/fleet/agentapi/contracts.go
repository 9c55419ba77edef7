package agentapi

// ContractList is which contracts a node measures. A node is sent it when its version is not the
// one that the node reports.
type ContractList struct {
	Version   uint64     `json:"version"`
	Contracts []Contract `json:"contracts"`
}

// Contract is what a node needs to know of a service level contract to measure response times.
type Contract struct {
	Name             string `json:"name"`
	Priority         int    `json:"priority"`
	MeasuresMessages bool   `json:"messages,omitempty"` // the objective is on messages, not on set-ups
}
