package lineproto

import (
	"strings"
	"testing"
	"time"

	"coralrelay/balance"
	"coralrelay/internal/proxy"
)

func TestParsesConnectRequest(t *testing.T) {
	tests := []struct {
		name, line string
		want       ConnectRequest // without beforeTimeout and afterTimeout; zero if the line is malformed
	}{
		{"all", "OPEN 9b k1 c=chat,d=2000,g=5c,r=1,again=1,at=s-1,h=0.25,new=x",
			ConnectRequest{ID: "9b", Key: "k1", Class: "chat", Group: "5c", Endpoint: "s-1",
				Timeout: 2 * time.Second, LoadHint: 0.25, Retry: true, Returned: true}},
		{"least", "OPEN 9b k1 c=chat,d=1.5",
			ConnectRequest{ID: "9b", Key: "k1", Class: "chat", Timeout: 1500 * time.Microsecond}},
		{"flags off", "OPEN 9b k1 r=0,again=0,c=chat,d=1",
			ConnectRequest{ID: "9b", Key: "k1", Class: "chat", Timeout: time.Millisecond}},
		{"empty", "", ConnectRequest{}},
		{"other word", "GET / HTTP/1.1", ConnectRequest{}},
		{"lower case", "open 9b k1 c=chat,d=1", ConnectRequest{}},
		{"no id", "OPEN  k1 c=chat,d=1", ConnectRequest{}},
		{"no list", "OPEN 9b k1", ConnectRequest{}},
		{"no class", "OPEN 9b k1 d=1", ConnectRequest{}},
		{"no wait", "OPEN 9b k1 c=chat", ConnectRequest{}},
		{"wait is a word", "OPEN 9b k1 c=chat,d=soon", ConnectRequest{}},
		{"wait is NaN", "OPEN 9b k1 c=chat,d=NaN", ConnectRequest{}},
		{"wait is negative", "OPEN 9b k1 c=chat,d=-1", ConnectRequest{}},
		{"wait overflows", "OPEN 9b k1 c=chat,d=1e300", ConnectRequest{}},
		{"wait twice", "OPEN 9b k1 c=chat,d=1,d=2", ConnectRequest{}},
		{"wait is no decimal", "OPEN 9b k1 c=chat,d=0x1p4", ConnectRequest{}},
		{"class twice", "OPEN 9b k1 c=chat,d=1,c=feed", ConnectRequest{}},
		{"hint is negative", "OPEN 9b k1 c=chat,d=1,h=-1", ConnectRequest{}},
		{"hint is beyond any load", "OPEN 9b k1 c=chat,d=1,h=1e300", ConnectRequest{}},
		{"hint is infinite", "OPEN 9b k1 c=chat,d=1,h=Inf", ConnectRequest{}},
		{"no value", "OPEN 9b k1 c=chat,d=1,g", ConnectRequest{}},
		{"extra word", "OPEN 9b k1 c=chat,d=1 x", ConnectRequest{}},
		{"binary", "OPEN 9b k\x00 c=chat,d=1", ConnectRequest{}},
		{"beyond ASCII", "OPEN 9b k\u00e9 c=chat,d=1", ConnectRequest{}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			got, err := ParseConnectRequest([]byte(tt.line))
			got.beforeTimeout, got.afterTimeout = "", ""
			if (err == nil) != (tt.want.ID != "") || err == nil && got != tt.want {
				t.Errorf("got %+v, %v\nwant %+v", got, err, tt.want)
			}
		})
	}
}

// The line is forwarded unchanged except for d: unknown fields and the order of the fields are
// kept.
func TestForwardsLineWithTimeLeft(t *testing.T) {
	now := time.Now()
	tests := []struct{ line, want string }{
		{"OPEN 9b k1 c=chat,d=2000,g=5c", "OPEN 9b k1 c=chat,d=1500,g=5c"},
		{"OPEN 9b k1 d=2000,zz=d=3,c=chat", "OPEN 9b k1 d=1500,zz=d=3,c=chat"},
		{"OPEN 9b k1 c=chat,d=2000", "OPEN 9b k1 c=chat,d=1500"},
	}
	for _, tt := range tests {
		request, err := ParseConnectRequest([]byte(tt.line))
		if err != nil {
			t.Fatal(err)
		}
		if got := request.ForwardLine(now, now.Add(1500*time.Millisecond)); got != tt.want {
			t.Errorf("got %q, want %q", got, tt.want)
		}
		if got := request.ForwardLine(now, now.Add(-time.Second)); !strings.Contains(got, "d=0") {
			t.Errorf("after the deadline: %q", got)
		}
	}
}

// Load reports have the names of the site's settings on its connections (outstanding and recent_ms,
// not inflight and latency_ms), and the protocol's own names in the protocol's examples.
func TestParsesStats(t *testing.T) {
	full := balance.LoadReport{Utilization: 0.5, CPUUtilization: 0.25, Inflight: 7, LatencyMillis: 12}
	tests := []struct {
		name, line string
		want       balance.LoadReport
		ok         bool
	}{
		{"names of the settings",
			"PONG outstanding=7,x0=0.5,recent_ms=12,backlog=2,utilization=0.25,throughput=40,errors_per_s=0.5,x1=1",
			full, true},
		{"names of the protocol",
			"PONG inflight=7,x0=0.5,latency_ms=12,queue=2,util=0.25,qps=40,eps=0.5,x1=1", full, true},
		{"unknown names", "PONG mood=3", balance.EmptyLoadReport, true},
		{"no report", "PONG", balance.EmptyLoadReport, true},
		{"error", "ERR", balance.EmptyLoadReport, false},
		{"not allowed", "NO", balance.EmptyLoadReport, false},
		{"no value", "PONG x0", balance.EmptyLoadReport, false},
		{"no number", "PONG x0=much", balance.EmptyLoadReport, false},
		{"not finite", "PONG x0=NaN", balance.EmptyLoadReport, false},
		{"negative", "PONG x0=-1", balance.EmptyLoadReport, false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			got, err := ParseStats([]byte(tt.line))
			if got != tt.want || (err == nil) != tt.ok {
				t.Errorf("got %+v, %v; want %+v", got, err, tt.want)
			}
		})
	}
}

func TestParsesReply(t *testing.T) {
	tests := []struct {
		line string
		want Reply
	}{
		{"UP r1", Up}, {"UP", Malformed}, {"UPPER r1", Malformed}, {"BUSY", Busy}, {"BUSY x0=0.5", Busy},
		{"ERR", Failed}, {"ERR inflight=7,queue=2", Failed}, {"BYE", Bye}, {"MOVE", Moved}, {"", Malformed},
		{"SYNTAX", Malformed}, {"\x00\x01", Malformed},
	}
	for _, tt := range tests {
		if got, _ := ParseReply([]byte(tt.line)); got != tt.want {
			t.Errorf("%q: got %d, want %d", tt.line, got, tt.want)
		}
	}
	if _, load := ParseReply([]byte("BUSY x0=0.5")); load.Utilization != 0.5 {
		t.Errorf("load report after BUSY: %+v", load)
	}
}

func TestClassifiesRelayedLine(t *testing.T) {
	tests := []struct {
		line string
		want proxy.LineKind
	}{
		{"LOAD 9407.5\r\n", proxy.LineLoadReport}, {"LOAD much\r\n", proxy.LineOther},
		{"MOVE\r\n", proxy.LineMove}, {"BYE\r\n", proxy.LineBye},
		{"BYE inflight=7\r\n", proxy.LineBye}, {"BYEBYE\r\n", proxy.LineOther},
		{"price 7\r\n", proxy.LineOther},
	}
	for _, tt := range tests {
		if got := (Codec{}).Classify([]byte(tt.line)); got != tt.want {
			t.Errorf("%q: got %d, want %d", tt.line, got, tt.want)
		}
	}
}

func TestFormatsBusyWithRetryAfter(t *testing.T) {
	for retryAfter, want := range map[time.Duration]string{
		0: "BUSY", 250 * time.Millisecond: "BUSY 250", time.Microsecond: "BUSY",
	} {
		if got := (Codec{}).Busy(retryAfter); got != want {
			t.Errorf("%v: got %q, want %q", retryAfter, got, want)
		}
	}
}
