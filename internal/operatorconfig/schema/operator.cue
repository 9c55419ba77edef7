// The operator's file: every key, its type, its bounds and its default. A file
// that gives only what differs is complete.

#Duration: string & =~"^([0-9]+(\\.[0-9]+)?(ns|us|ms|s|m|h))+$" | "0"
#Address:  =~"^[^ :]*:[0-9]+$"
#Name:     =~"^[^ \\t]{1,40}$"
#Zone:     =~"^[^ \\t]{1,24}$"

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

udp: {
	// one address for datagrams; empty for off
	listen: #Address | *""
	// of the settings' classes; empty for the first
	class: string | *""
	// flows in the table
	flows: int & >=1 & <=67_108_864 | *10_000
	// a flow silent for so long is forgotten: 100ms to 24h
	idle: #Duration | *"30s"
	// who gives way in a full table: the oldest flow that has not settled, nobody, or the flow silent longest
	policy: *"reserve" | "refuse" | "idle"
	// share of the table that settled flows alone may use
	reserve: number & >=0 & <=1 | *0.5
	// a flow has settled after so many datagrams
	settled: int & >=1 & <=1_048_576 | *3
	// over at least so long: up to 1h
	after: #Duration | *"1s"
	// a socket for each flow, or one for each next hop that its flows share: then only next hops that repeat the PROXY header can answer
	mode: *"flow" | "shared"
	// to next hops at once, taken from limits.sockets
	sockets: int & >=1 & <=1_048_576 | *256
	// a PROXY v2 header before each datagram to next hops
	proxy: bool | *false
	// datagrams that wait for a decision: of one flow, and of all together
	queue: {
		flow:       int & >=1 & <=65_536 | *8
		flow_bytes: int & >=1 & <=67_108_864 | *16_384
		all:        int & >=1 & <=16_777_216 | *4096
		all_bytes:  int & >=1 & <=1_073_741_824 | *4_194_304
	}
	// when a next hop counts as silent, and its flows go elsewhere
	silence: {
		// nothing was heard of it for so long: up to 1h; 0s for never
		after: #Duration | *"3s"
		// and so many datagrams were not answered, where it used to answer; 0 to go by health alone
		datagrams: int & >=0 & <=1_048_576 | *20
		// a datagram that next hops answer, to ask for their health; empty for their probes
		echo: string & =~"^.{0,1024}$" | *""
	}
	// new flows of one source: a second, at once, and slots of what counts them
	sources: {
		rate:  number & >=0 & <=1e9 | *100
		burst: number & >=1 & <=1e9 | *200
		slots: int & >=2 & <=67_108_864 | *65_536
	}
	// new flows placed: a second, and at once
	new: {
		rate:  number & >=1 & <=1e9 | *10_000
		burst: number & >=1 & <=1e9 | *1000
	}
	// flows placed again after the loss of their next hop: a second, and at once
	again: {
		rate:  number & >=1 & <=1e9 | *2000
		burst: number & >=1 & <=1e9 | *200
	}
}

fleet: {
	// where the agent beside this node (coralagent) answers it; empty for off
	agent: #Address | *""
	// of the member; no other may have it
	name: string & =~"^.{0,64}$" | *""
	// for gossip, TCP and UDP
	bind: #Address | *""
	// where the others reach it, if elsewhere
	advertise: #Address | *""
	// some other members
	peers: [...#Address] | *[]
	// file with 32, 48 or 64 hexadecimal digits, the same at all members
	key: string | *""
	// of gossip: 20ms to 5s
	interval: #Duration | *"100ms"
	// a cold next hop's window, as the settings' tipAfter: 200ms to 1m
	epoch: #Duration | *"1500ms"
	// who has gone silent keeps his part for so long: the epoch to 1h
	hold: #Duration | *"30s"
	// accusations and counts of retries count for so long: 200ms to 1m
	fresh: #Duration | *"3s"
	// allowed for each first try, by all nodes together
	retries: number & >=0 & <=10 | *0.2
	// share of the next hops that verdicts cover at most
	shun: number & >=0 & <=1 | *0.25
	// where this member stands; empty for nowhere
	zone: #Zone | *""
	// the log that all members hold alike; off without voters
	record: {
		// this member's own folder for it
		dir: string | *""
		// where this member serves it, TCP
		bind: #Address | *""
		// where the others reach that, if elsewhere
		advertise: #Address | *""
		// members that decide what it takes, the same at all: 3 or 5, no zone with a majority; none for off
		voters: [...#Voter] | *[]
		// who has heard from nobody for so long acts on its own: 500ms to 1m
		lease: #Duration | *"2s"
		// public key of who may found accounts, as 'coralctl account key' prints it; empty for nobody
		root: =~"^[A-Za-z0-9+/]{43}=$" | *""
	}
	// the limits of accounts, which the record holds; the same at all members
	accounts: {
		// when all are well: who sees half of them or fewer keeps to its even part of each limit; 0 for no such rule
		members: int & >=0 & <=1024 | *0
	}
	// leaving zones that fail, and returning, as a fleet; the same at all members
	zones: {
		// needs a record
		enabled: bool | *false
		// named sets of zones, that are left and returned to as one
		regions: {[#Zone]: [...#Zone]} | *{}
		// where given, the record takes no other
		zones: [...#Zone] | *[]
		// a member's word counts for so long: 100ms to 1m
		fresh: #Duration | *"1s"
		// members' clocks may be so far apart: up to 10s
		skew: #Duration | *"200ms"
		// a failure must be seen for so long, and twice that where others are about to see it: up to 1m
		confirm: #Duration | *"200ms"
		// from leaving to left, by when all have heard: up to 1m
		settle: #Duration | *"500ms"
		// good evidence holds for so long before each step of a return: 100ms to 1h
		steady: #Duration | *"2s"
		// least time between two changes of one share: 100ms to 1h
		gap: #Duration | *"5s"
		// a zone that fails a second time is held so long, then twice as long: 100ms to 1h
		hold: #Duration | *"5s"
		// and never longer than this: hold to 24h
		holdMost: #Duration | *"5m"
		// then a zone's failures are forgotten: holdMost to 240h
		quiet: #Duration | *"10m"
		// a cold next hop is warm after this: up to 1h
		ramp: #Duration | *"10s"
		// what a member must have asked before its word counts
		enough: number & >=0.1 & <=1e6 | *2
		// bad share of its next hops from which on a zone serves nobody
		lost: number & >=0.7 & <=1 | *0.9
		// share of all zones that are left at most, as seen from one
		most: number & >=0.01 & <=0.99 | *0.7
		// load over capacity up to which the zones that stay are filled
		high: number & >=0.1 & <=1 | *0.85
		// of its capacity that a next hop can do as it starts
		cold: number & >=0.01 & <=1 | *0.3
		// of a cold next hop's capacity beyond which it falls over
		multiple: number & >=0.1 & <=100 | *3
		// set-ups a second that a warm next hop bears
		bears: number & >=0.01 & <=1e6 | *10
		// set-ups a second that the session store bears; 0 for no bound
		store: number & >=0 & <=1e6 | *0
		// shares of a return's steps, rising, above 0 to 1: 1 to 16 of them
		steps: [...number] | *[0.05, 0.15, 0.35, 0.7]
	}
	// keeping contracts on response times; the same at all members
	promises: {
		// needs a record
		enabled: bool | *false
		// what is measured in such a part of time is told and judged as one: 1s to 1m
		part: #Duration | *"5s"
		// the last parts, that are evidence
		parts: int & >=1 & <=60 | *6
		// after a part's end members' samples are still waited for: up to two parts
		late: #Duration | *"5s"
		// pairs of contract and region that a member tells of a part at most
		cells: int & >=1 & <=4096 | *1024
		// standard deviations that a verdict needs
		z: number & >=0.5 & <=6 | *2
		// times within the evidence that make a region measured
		need: number & >=1 & <=1e6 | *100
		// between two steps of one contract: 30s or more
		period: #Duration | *"30s"
		// of a contract that is moved in a period at most
		step: number & >0 & <=1 | *0.1
		// of what a region bears that is moved there in a period at most
		inflow: number & >0 & <=1 | *0.05
		// of what a region bears up to which contracts are moved there
		fill: number & >0 & <=1 | *0.85
		// a region has to break a promise for so long before anyone leaves it
		patience: #Duration | *"20s"
		// of the allowed misses that a region must leave free to be moved to
		margin: number & >=0 & <1 | *0.25
		// of a contract that measures where nobody has of late
		explore: number & >=0 & <=0.02 | *0.02
		// for rehearsals: these times and contracts' windows pass so many times faster
		pace: int & >=1 & <=60 | *1
	}
	if agent != "" {
		name: !=""
		bind: !=""
		key:  !=""
	}
}

#Voter: {
	name: =~"^[^ \\t]{1,64}$"
	// where the others reach its record
	addr: #Address
	zone: #Zone
}
