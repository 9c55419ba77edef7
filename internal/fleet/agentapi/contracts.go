package agentapi

// Promised is which contracts are counted: what a node is told once they are others than
// those that it has said to know.
type ContractList struct {
	Version   uint64     `json:"version"`
	Contracts []Contract `json:"contracts"`
}

// Contract is what a node needs to know of one to count its response times.
type Contract struct {
	Name             string `json:"name"`
	Priority         int    `json:"priority"`
	MeasuresMessages bool   `json:"messages,omitempty"` // it promises those of messages, not of set-ups
}
