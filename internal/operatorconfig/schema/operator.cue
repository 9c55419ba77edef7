// The schema of the operator's file: all keys with their types, bounds and defaults.
// A file needs only the keys that differ from the defaults.

#Duration: string & =~"^([0-9]+(\\.[0-9]+)?(ns|us|ms|s|m|h))+$" | "0"
#Address:  =~"^[^ :]*:[0-9]+$"
#Name:     =~"^[^ \\t]{1,40}$"
#Zone:     =~"^[^ \\t]{1,24}$"

log: {
	// minimum level of log lines: debug, info, warn or error; can be changed while the node runs
	level: "debug" | *"info" | "warn" | "error"
	// format of the log lines on standard error
	format: *"text" | "json"
}

resume: {
	// clients whose connections are migrated get a token with which they resume their sessions
	enabled: bool | *false
	// directory of key files, created by 'coralctl key new'; reloaded on SIGHUP
	keys: string | *""
	// validity period of a token: 1s to 24h
	life: #Duration | *"1m"
	// maximum difference between the clocks of nodes: up to 1m
	skew: #Duration | *"5s"
	// time-out for the answer of an arbiter, after which the client gets a snapshot: 1ms to 5s
	wait: #Duration | *"150ms"
	ledger: {
		// directory of the record of spent tokens; empty keeps the record in memory
		dir: string | *""
		// maximum number of spent tokens in the record
		records: int & >=1 & <=100_000_000 | *1_000_000
		// address at which other nodes query this record; empty for none
		listen: #Address | *""
		// addresses of other nodes' records, by node name
		peers: {[#Name]: #Address} | *{}
	}
	if enabled {
		keys: !=""
	}
}

udp: {
	// address for datagrams; empty disables UDP
	listen: #Address | *""
	// class of the flows, as in the settings; empty for the first class
	class: string | *""
	// maximum number of flows in the flow table
	flows: int & >=1 & <=67_108_864 | *10_000
	// a flow without datagrams for this time expires: 100ms to 24h
	idle: #Duration | *"30s"
	// when the table is full: evict the oldest unsettled flow, reject the new flow, or evict the flow that has been idle longest
	policy: *"reserve" | "refuse" | "idle"
	// share of the table that only settled flows may use, with the policy reserve
	reserve: number & >=0 & <=1 | *0.5
	// a flow is settled after this number of datagrams
	settled: int & >=1 & <=1_048_576 | *3
	// and at this age at least: up to 1h
	after: #Duration | *"1s"
	// one socket per flow, or one per endpoint that its flows share; with shared sockets only endpoints that repeat the PROXY header can answer
	mode: *"flow" | "shared"
	// maximum number of sockets to endpoints, deducted from limits.sockets
	sockets: int & >=1 & <=1_048_576 | *256
	// put a PROXY v2 header before each datagram to endpoints
	proxy: bool | *false
	// limits of the datagrams that wait for the placement of their flow: per flow and in total
	queue: {
		flow:       int & >=1 & <=65_536 | *8
		flow_bytes: int & >=1 & <=67_108_864 | *16_384
		all:        int & >=1 & <=16_777_216 | *4096
		all_bytes:  int & >=1 & <=1_073_741_824 | *4_194_304
	}
	// conditions under which an endpoint counts as silent, so that its flows are moved to other endpoints
	silence: {
		// no datagram was received from it for this time: up to 1h; 0s disables the rule
		after: #Duration | *"3s"
		// and this number of datagrams is unanswered, if it used to answer; 0 ignores unanswered datagrams and uses health checks alone
		datagrams: int & >=0 & <=1_048_576 | *20
		// health check datagram that endpoints answer; empty uses the results of their load probes
		echo: string & =~"^.{0,1024}$" | *""
	}
	// limit of new flows per source: rate per second, burst, and number of token buckets
	sources: {
		rate:  number & >=0 & <=1e9 | *100
		burst: number & >=1 & <=1e9 | *200
		slots: int & >=2 & <=67_108_864 | *65_536
	}
	// limit of placements of new flows: rate per second and burst
	new: {
		rate:  number & >=1 & <=1e9 | *10_000
		burst: number & >=1 & <=1e9 | *1000
	}
	// limit of placements of flows that have lost their endpoint: rate per second and burst
	again: {
		rate:  number & >=1 & <=1e9 | *2000
		burst: number & >=1 & <=1e9 | *200
	}
}

fleet: {
	// address at which this node's agent (coralagent) serves it; empty for no agent
	agent: #Address | *""
	// name of this member; must be unique in the fleet
	name: string & =~"^.{0,64}$" | *""
	// address for gossip, TCP and UDP
	bind: #Address | *""
	// address at which other members reach it, if different from bind
	advertise: #Address | *""
	// addresses of some other members
	peers: [...#Address] | *[]
	// file with the gossip key, 32, 48 or 64 hexadecimal digits; the same on all members
	key: string | *""
	// gossip interval: 20ms to 5s
	interval: #Duration | *"100ms"
	// quota period of a cold endpoint, as the settings' tipAfter: 200ms to 1m
	epoch: #Duration | *"1500ms"
	// a silent member keeps its share of the quotas for this time: epoch to 1h
	hold: #Duration | *"30s"
	// validity period of outlier reports and retry counts: 200ms to 1m
	fresh: #Duration | *"3s"
	// retries allowed per first attempt, over all nodes
	retries: number & >=0 & <=10 | *0.2
	// maximum share of the endpoints that are ejected as outliers
	shun: number & >=0 & <=1 | *0.25
	// zone of this member; empty for none
	zone: #Zone | *""
	// the replicated log of the fleet; disabled without voters
	record: {
		// directory of this member's copy; must not be shared
		dir: string | *""
		// address at which this member serves the log, TCP
		bind: #Address | *""
		// address at which other members reach it, if different from bind
		advertise: #Address | *""
		// members that vote on log entries: 3 or 5, without a majority in one zone, or none to disable the log; the same on all members
		voters: [...#Voter] | *[]
		// a member without contact to a leader for this time acts on its own: 500ms to 1m
		lease: #Duration | *"2s"
		// public key that may create accounts, as printed by 'coralctl account key'; empty for none
		root: =~"^[A-Za-z0-9+/]{43}=$" | *""
	}
	// allocation of the limits of accounts, which are stored in the replicated log; the same on all members
	accounts: {
		// number of members when all are alive; a member that sees at most half of them uses only its even share of each limit; 0 disables the rule
		members: int & >=0 & <=1024 | *0
	}
	// evacuation of failing zones and recovery, coordinated by the fleet; the same on all members
	zones: {
		// requires a replicated log, that is fleet.record with voters
		enabled: bool | *false
		// named sets of zones that are evacuated and recovered together
		regions: {[#Zone]: [...#Zone]} | *{}
		// all zones; if set, the replicated log accepts no others
		zones: [...#Zone] | *[]
		// validity period of a member's report: 100ms to 1m
		fresh: #Duration | *"1s"
		// maximum difference between the clocks of members: up to 10s
		skew: #Duration | *"200ms"
		// a failure must be observed for this time, or twice as long while other zones see it degrade too: up to 1m
		confirm: #Duration | *"200ms"
		// time from evacuating to evacuated, after which all nodes are informed: up to 1m
		settle: #Duration | *"500ms"
		// good evidence must last for this time before each step of a recovery: 100ms to 1h
		steady: #Duration | *"2s"
		// minimum time between two changes of one share: 100ms to 1h
		gap: #Duration | *"5s"
		// a zone that fails a second time is held back for this time, doubled with each further failure: 100ms to 1h
		hold: #Duration | *"5s"
		// maximum time for which a zone is held back: hold to 24h
		holdMost: #Duration | *"5m"
		// the failures of a zone are forgotten after this time without a change: holdMost to 240h
		quiet: #Duration | *"10m"
		// duration of the slow start of an endpoint: up to 1h
		ramp: #Duration | *"10s"
		// number of attempts that a member must have made before its report counts
		enough: number & >=0.1 & <=1e6 | *2
		// share of bad endpoints from which a zone is unavailable
		lost: number & >=0.7 & <=1 | *0.9
		// maximum share of all zones that are evacuated, as observed from one zone
		most: number & >=0.01 & <=0.99 | *0.7
		// ratio of load to capacity up to which the remaining zones are filled
		high: number & >=0.1 & <=1 | *0.85
		// share of its capacity that an endpoint has when it starts
		cold: number & >=0.01 & <=1 | *0.3
		// multiple of its capacity at which a cold endpoint fails
		multiple: number & >=0.1 & <=100 | *3
		// session set-ups per second that a warm endpoint supports
		bears: number & >=0.01 & <=1e6 | *10
		// session set-ups per second that the session store supports; 0 for no limit
		store: number & >=0 & <=1e6 | *0
		// shares of the steps of a recovery, increasing, above 0 and at most 1: 1 to 16 steps
		steps: [...number] | *[0.05, 0.15, 0.35, 0.7]
	}
	// enforcement of contracts on response times; the same on all members
	promises: {
		// requires a replicated log, that is fleet.record with voters
		enabled: bool | *false
		// interval over which measurements are reported and evaluated together: 1s to 1m
		part: #Duration | *"5s"
		// number of recent intervals that are used as evidence
		parts: int & >=1 & <=60 | *6
		// time after the end of an interval during which samples of members are awaited: up to two intervals
		late: #Duration | *"5s"
		// maximum number of pairs of contract and region that a member reports per interval
		cells: int & >=1 & <=4096 | *1024
		// number of standard deviations that a verdict requires
		z: number & >=0.5 & <=6 | *2
		// number of response times in the evidence from which a region counts as measured
		need: number & >=1 & <=1e6 | *100
		// minimum time between two moves of one contract: 30s or more
		period: #Duration | *"30s"
		// maximum share of a contract that is moved per period
		step: number & >0 & <=1 | *0.1
		// maximum share of a region's capacity that is moved to it per period
		inflow: number & >0 & <=1 | *0.05
		// share of a region's capacity up to which contracts are moved to it
		fill: number & >0 & <=1 | *0.85
		// a region must miss an objective for this time before contracts are moved away
		patience: #Duration | *"20s"
		// share of the error budget that a region must have left for contracts to be moved to it
		margin: number & >=0 & <1 | *0.25
		// share of a contract that is sent to regions without recent samples, to measure them
		explore: number & >=0 & <=0.02 | *0.02
		// for rehearsals: factor by which these times and the windows of contracts are shortened
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
	// address at which other members reach its copy of the replicated log
	addr: #Address
	zone: #Zone
}
