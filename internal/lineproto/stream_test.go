package lineproto

import (
	"strings"
	"testing"
	"time"

	"coralrelay/internal/resumetoken"
)

// The position is that of the last whole line, and none where a client could not
// go on from it.
func TestFollowsStreamPosition(t *testing.T) {
	for name, c := range map[string]struct{ lines, want string }{
		"nothing yet":              {"", ""},
		"other lines":              {"HEY 1|LOAD 3", ""},
		"resumed":                  {"RESUMED c0:41", "c0:41"},
		"changes":                  {"RESUMED c0:41|UPD 42 7 3 x|HEY 2|UPD 43 8 1", "c0:43"},
		"quiet":                    {"RESUMED c0:41|POS c0:60", "c0:60"},
		"within a snapshot":        {"RESUMED c0:41|SNAPSHOT c1:9 2|ITEM 1 1", ""},
		"a snapshot":               {"SNAPSHOT c1:9 2|ITEM 1 1|ITEM 2 5|UPD 10 1 2", "c1:10"},
		"an item that looks other": {"SNAPSHOT c1:9 2|UPD 77 1|POS c9:9", "c1:9"},
		"an empty snapshot":        {"SNAPSHOT c1:9 0", "c1:9"},
		"changes before a begin":   {"UPD 42 7 3", ""},
		"numbers that are none":    {"RESUMED c0:41|UPD x 7 3", ""},
		"snapshot of less than 0":  {"SNAPSHOT c1:9 -2|UPD 10 1 1", ""},
		"position that is none":    {"RESUMED c0:41|POS here", ""},
	} {
		var r StreamPosition
		for l := range strings.SplitSeq(c.lines, "|") {
			r.Observe([]byte(l + "\r\n"))
		}
		got := ""
		if p, ok := r.Position(); ok {
			got = p.String()
		}
		if got != c.want {
			t.Errorf("%s: %q, want %q", name, got, c.want)
		}
	}
}

func TestFormatsStreamStart(t *testing.T) {
	came := time.UnixMilli(1234)
	pos := resumetoken.Position{Epoch: 0xc0, Offset: 41}
	for want, o := range map[string]resumetoken.Outcome{
		"START":                     {},
		"START after=c0:41 at=1234": {HasMinPosition: true, Position: pos},
		"START resume=c0:41 at=1234 id=01000000000000000000000000000000": {CanResume: true, Position: pos, Nonce: resumetoken.Nonce{1}},
	} {
		if got := FormatStreamStart(o, came); got != want {
			t.Errorf("%q, want %q", got, want)
		}
	}
}

// The token is gone from what next hops get, wherever it stood, and nothing else.
func TestStripsResumeToken(t *testing.T) {
	now := time.Now()
	for _, c := range []struct{ line, want string }{
		{"OPEN a k c=feed,d=9,g=1,rs=TOK", "OPEN a k c=feed,d=9,g=1,rs=1"},
		{"OPEN a k rs=TOK,c=feed,d=9", "OPEN a k rs=1,c=feed,d=9"},
		{"OPEN a k c=feed,rs=TOK,d=9,x=rs=TOK", "OPEN a k c=feed,rs=1,d=9,x=rs=TOK"},
		{"OPEN rs=TOK rs=TOK c=feed,d=9,rs=TOK,rp=c0:4", "OPEN rs=TOK rs=TOK c=feed,d=9,rs=1,rp=c0:4"},
		{"OPEN a k c=feed,d=9,rs=1", "OPEN a k c=feed,d=9,rs=1"},
	} {
		o, err := ParseConnectRequest([]byte(c.line))
		if err != nil {
			t.Fatal(err)
		}
		o.StripResumption()
		if got := o.ForwardLine(now, now.Add(9*time.Millisecond)); got != c.want {
			t.Errorf("%q became %q, want %q", c.line, got, c.want)
		}
	}
}

func FuzzParseConnectRequest(f *testing.F) {
	for _, seed := range []string{"OPEN a k c=feed,d=9,g=1,rs=TOK", "OPEN rs=1 rs=1 rs=1,c=f,d=1,at=s", "OPEN a k c=,d=1e3", "PING"} {
		f.Add(seed)
	}
	f.Fuzz(func(t *testing.T, s string) {
		o, err := ParseConnectRequest([]byte(s))
		if err != nil {
			return
		}
		token := o.ResumeToken
		o.StripResumption()
		now := time.Now()
		again, err := ParseConnectRequest([]byte(o.ForwardLine(now, now.Add(time.Second))))
		if err != nil {
			t.Fatalf("%q was read, and what goes on is not: %v", s, err)
		}
		if again.ID != o.ID || again.Key != o.Key || again.Group != o.Group || again.Endpoint != o.Endpoint || again.ResumePosition != o.ResumePosition {
			t.Errorf("%q changed on its way", s)
		}
		if token != "" && again.ResumeToken != ResumeWanted {
			t.Errorf("%q went on with %q", s, again.ResumeToken)
		}
	})
}
