// The operator's own file: what this installation switches on beyond the platform.
// Every key stands here with its default; all is off. Start the node with
//
//	bin/coralrelay --config deploy/operator.cue
//
// and see 'bin/coralctl explain' for what each key allows. The platform's line
// 'run' names no such file: it has no lasting disk and no talk among nodes.

log: {
	level:  "info" // debug, info, warn, error
	format: "text" // or "json"
}

// Moving with a resume token: docs/operate/resume.md.
resume: {
	enabled: false
	keys:    ""      // "/etc/coralrelay/keys", made with 'coralctl key new'
	life:    "1m"    // of a token: longer than clients take to come back
	skew:    "5s"    // by which nodes' clocks may differ
	wait:    "150ms" // for an arbiter; then the client gets a snapshot
	ledger: {
		dir:     ""      // "/var/lib/coralrelay": a folder that survives restarts
		records: 1000000 // spent tokens remembered at most
		listen:  ""      // "10.0.0.4:7171": where other nodes ask
		peers: {} // {n2: "10.0.0.5:7171", n3: "10.0.0.6:7171"}
	}
}

// Flows of datagrams: docs/operate/udp.md.
udp: {
	listen:  "" // "10.0.0.4:7070": one address of the machine's
	class:   "" // of the settings' classes; empty for the first
	flows:   10000
	idle:    "30s"
	policy:  "reserve" // for a full table; or "refuse", "idle"
	reserve: 0.5       // of the table, for settled flows alone
	settled: 3         // datagrams
	after:   "1s"      // over at least so long
	mode:    "flow"    // a socket for each flow; "shared" is one for each next hop, for beacons
	sockets: 256       // to next hops at once; taken from limits.sockets
	proxy:   false     // a PROXY v2 header before each datagram
	queue: {flow: 8, flow_bytes: 16384, all: 4096, all_bytes: 4194304}
	silence: {after: "3s", datagrams: 20, echo: ""} // then a next hop's flows go elsewhere
	sources: {rate: 100, burst: 200, slots: 65536}
	new: {rate: 10000, burst: 1000}
	again: {rate: 2000, burst: 200}
}

// What all nodes share, through an agent beside each: docs/operate/fleet-limits.md.
fleet: {
	agent:     "" // "127.0.0.1:7272": where 'coralagent' answers its node
	name:      "" // "n1": no other member may have it
	bind:      "" // "10.0.0.4:7946": gossip, TCP and UDP
	advertise: "" // where the others reach it, if elsewhere
	peers: [] // ["10.0.0.5:7946", "10.0.0.6:7946"]: some of the others
	key:      ""       // "/etc/coralrelay/fleet.key": 64 hexadecimal digits, the same everywhere
	interval: "100ms"  // of gossip
	epoch:    "1500ms" // a cold next hop's window, as the settings' tipAfter
	hold:     "30s"    // who has gone silent keeps his part for so long
	fresh:    "3s"     // accusations and counts of retries count for so long
	retries:  0.2      // allowed for each first try, by all nodes together
	shun:     0.25     // of the next hops, at most, by verdict
	zone:     ""       // "a": where this member stands

	// The log that all members hold alike: docs/operate/record.md.
	record: {
		dir:       "" // "/var/lib/coralagent": this member's own
		bind:      "" // "10.0.0.4:7373", TCP
		advertise: "" // where the others reach it, if elsewhere
		voters: [] // 3 or 5, the same everywhere: [{name: "n1", addr: "10.0.0.4:7373", zone: "a"}, ...]
		lease: "2s" // who has heard from nobody for so long acts on its own
		root:  ""   // public key of who may found accounts, from 'coralctl account key'
	}

	// The limits of accounts: docs/operate/accounts.md.
	accounts: {
		members: 0 // when all are well: who sees half of them or fewer keeps to its even part
	}

	// Leaving zones that fail, and returning, as a fleet: docs/operate/zones.md.
	zones: {
		enabled: false
		regions: {} // {north: ["a", "b"]}: left and returned to as one
		zones: [] // where given, the record takes no other
		fresh:    "1s"    // a member's word counts for so long
		skew:     "200ms" // by which members' clocks may differ
		confirm:  "200ms" // a failure must be seen for so long
		settle:   "500ms" // from leaving to left
		steady:   "2s"    // good evidence before each step of a return
		gap:      "5s"    // between two changes of one share
		hold:     "5s"    // a zone that fails again is held so long, then twice as long
		holdMost: "5m"
		quiet:    "10m" // then its failures are forgotten
		ramp:     "10s" // a cold next hop is warm after this, as the settings' ramp
		enough:   2     // asked by a member before its word counts
		lost:     0.9   // bad share of its next hops from which on a zone serves nobody
		most:     0.7   // of all zones, left at most
		high:     0.85  // load up to which the zones that stay are filled
		cold:     0.3   // of its capacity that a next hop can do as it starts
		multiple: 3     // of a cold next hop's capacity beyond which it falls over
		bears:    10    // set-ups a second, a warm next hop
		store:    0     // set-ups a second, the session store; 0 for no bound
		steps: [0.05, 0.15, 0.35, 0.7] // of a return
	}
	// Keeping contracts on response times: docs/operate/promises.md.
	promises: {
		enabled: false // needs a record
		part:     "5s"  // is told and judged as one
		parts:    6     // that are evidence
		late:     "5s"  // samples are waited for
		cells:    1024  // told of a part
		z:        2     // standard deviations of a verdict
		need:     100   // times that make a region measured
		period:   "30s" // between two steps
		step:     0.1   // of a contract, in a period
		inflow:   0.05  // of what a region bears, in a period
		fill:     0.85  // of what a region bears
		patience: "20s" // before a region is left
		margin:   0.25  // of the allowed misses, free where one moves to
		explore:  0.02  // of a contract
		pace:     1     // for rehearsals
	}
}
