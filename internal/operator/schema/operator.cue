// The operator's file: every key, its type, its bounds and its default. A file
// that gives only what differs is complete.

#Duration: string & =~"^([0-9]+(\\.[0-9]+)?(ns|us|ms|s|m|h))+$" | "0"
#Address:  =~"^[^ :]*:[0-9]+$"
#Name:     =~"^[^ \\t]{1,40}$"

log: {
	// debug, info, warn or error; can change while the node runs
	level: "debug" | *"info" | "warn" | "error"
	// how lines are written to standard error
	format: *"text" | "json"
}

resume: {
	// moved connections carry a token with which their clients go on
	enabled: bool | *false
	// folder of key files, from 'coralctl key new'; read again on SIGHUP
	keys: string | *""
	// how long a token is good for: 1s to 24h
	life: #Duration | *"1m"
	// by how much nodes' clocks may differ: up to 1m
	skew: #Duration | *"5s"
	// how long an arbiter may take before a client gets a snapshot: 1ms to 5s
	wait: #Duration | *"150ms"
	ledger: {
		// folder of the record of spent tokens; empty keeps it in memory
		dir: string | *""
		// spent tokens remembered at most
		records: int & >=1 & <=100_000_000 | *1_000_000
		// where other nodes ask; empty for nowhere
		listen: #Address | *""
		// other nodes' ledgers, by their names
		peers: {[#Name]: #Address} | *{}
	}
	if enabled {
		keys: !=""
	}
}
