package standin

// Site is a deployment of the operators.
type Site struct {
	Settings string // for a node, in JSON
	Request  string // the fields of a client's first line, but for the group
	Report   string // a load report up to the load
}

// TramadoSul is the site tramado-sul, with the settings of the wire page.
var TramadoSul = Site{
	Request: "c=listing-feed,d=1800",
	Report:  "inflight=3,latency_ms=2,x0=",
	Settings: `{"classes":[{"credit":1.0,"deadline":1.8,"effect":"read_like","group":"all","lateValue":0.0,
"name":"listing-feed","objective":0.3,"streaming":true,"window":5.0}],"clients":{"marksRetry":true},
"domain":{"groups":true,"messageAim":[0.06],"mode":"proxy"},"granularity":0.004,
"guarantees":{"askWithin":10.0,"coldFrom":0.12,"drainGrace":0.3,"graceToAnswer":0.016,"rampTime":23.0,
"tipAfter":1.5,"tipMultiple":3.0},"limits":{"cancel":true,"connIdle":30.0,"connectTimeout":0.25,
"maxRetryAfter":1.0,"mostTries":6,"probing":true,"retryAfter":true},"nInstances":2,
"registryMode":"on_request","report":{"fields":["outstanding","x0","recent_ms"],"via":"probe"},"slotNo":0,
"tenants":[],"weights":"rough","zone":"poa-1","zones":["poa-1","cwb-1"]}`,
}

// MontevideoVista is the site montevideo-vista, where lists are pushed, with the figures of its page.
var MontevideoVista = Site{
	Request: "c=walkthrough-view,t=estudio-arenas,d=3000",
	Report:  "queue=0,x0=",
	Settings: `{"classes":[
{"credit":1.0,"deadline":3.0,"effect":"read_like","group":"all","name":"walkthrough-view","objective":0.5,"window":5.0},
{"credit":2.0,"deadline":1.2,"effect":"read_like","group":"all","name":"camera-steer","objective":0.3,"window":5.0},
{"credit":3.0,"deadline":3.0,"effect":"read_like","group":"all","name":"material-swap","objective":0.5,"window":5.0},
{"credit":5.0,"deadline":3.2,"effect":"read_like","group":"all","name":"final-still","objective":0.8,"window":5.0}],
"clients":{"marksRetry":true},"domain":{"groups":true,"messageAim":[0.05,0.1,0.05,0.1],"mode":"proxy"},
"granularity":0.004,"guarantees":{"askWithin":10.0,"coldFrom":0.35,"drainGrace":0.5,"graceToAnswer":0.016,
"rampTime":8.9,"tipAfter":1.0,"tipMultiple":3.0},"limits":{"cancel":true,"connectTimeout":0.2,
"maxRetryAfter":1.5,"mostTries":4,"probing":true,"retryAfter":true},"nInstances":5,"registryMode":"pushed",
"report":{"fields":["backlog","x0"],"via":"probe"},"slotNo":0,"tenants":[{"name":"estudio-arenas","portion":0.39}],
"weights":"live","zone":"cordon","zones":["cordon","pocitos","buceo","prado","carrasco"]}`,
}
