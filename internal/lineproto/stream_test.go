package lineproto

import (
	"strings"
	"testing"
	"time"

	"coralrelay/internal/resumetoken"
)

// The position is that of the last complete line. There is none where a client could not resume the
// stream.
func TestTracksStreamPosition(t *testing.T) {
	for name, c := range map[string]struct{ lines, want string }{
		"nothing yet":                {"", ""},
		"other lines":                {"HEY 1|LOAD 3", ""},
		"resumed":                    {"RESUMED c0:41", "c0:41"},
		"changes":                    {"RESUMED c0:41|UPD 42 7 3 x|HEY 2|UPD 43 8 1", "c0:43"},
		"quiet":                      {"RESUMED c0:41|POS c0:60", "c0:60"},
		"within a snapshot":          {"RESUMED c0:41|SNAPSHOT c1:9 2|ITEM 1 1", ""},
		"a snapshot":                 {"SNAPSHOT c1:9 2|ITEM 1 1|ITEM 2 5|UPD 10 1 2", "c1:10"},
		"item that looks like UPD":   {"SNAPSHOT c1:9 2|UPD 77 1|POS c9:9", "c1:9"},
		"an empty snapshot":          {"SNAPSHOT c1:9 0", "c1:9"},
		"change before any position": {"UPD 42 7 3", ""},
		"invalid offset":             {"RESUMED c0:41|UPD x 7 3", ""},
		"negative snapshot length":   {"SNAPSHOT c1:9 -2|UPD 10 1 1", ""},
		"invalid position":           {"RESUMED c0:41|POS here", ""},
	} {
		var position StreamPosition
		for line := range strings.SplitSeq(c.lines, "|") {
			position.Observe([]byte(line + "\r\n"))
		}
		got := ""
		if p, ok := position.Position(); ok {
			got = p.String()
		}
		if got != c.want {
			t.Errorf("%s: position %q, want %q", name, got, c.want)
		}
	}
}

func TestFormatsStreamStart(t *testing.T) {
	connectedAt := time.UnixMilli(1234)
	pos := resumetoken.Position{Epoch: 0xc0, Offset: 41}
	for want, outcome := range map[string]resumetoken.Outcome{
		"START":                     {},
		"START after=c0:41 at=1234": {HasMinPosition: true, Position: pos},
		"START resume=c0:41 at=1234 id=01000000000000000000000000000000": {
			CanResume: true, Position: pos, Nonce: resumetoken.Nonce{1},
		},
	} {
		if got := FormatStreamStart(outcome, connectedAt); got != want {
			t.Errorf("got %q, want %q", got, want)
		}
	}
}

// The token is removed from the line to forward wherever it stands in the list, and nothing else is
// changed.
func TestStripsResumeToken(t *testing.T) {
	now := time.Now()
	for _, c := range []struct{ line, want string }{
		{"OPEN a k c=feed,d=9,g=1,rs=TOK", "OPEN a k c=feed,d=9,g=1,rs=1"},
		{"OPEN a k rs=TOK,c=feed,d=9", "OPEN a k rs=1,c=feed,d=9"},
		{"OPEN a k c=feed,rs=TOK,d=9,x=rs=TOK", "OPEN a k c=feed,rs=1,d=9,x=rs=TOK"},
		{"OPEN rs=TOK rs=TOK c=feed,d=9,rs=TOK,rp=c0:4", "OPEN rs=TOK rs=TOK c=feed,d=9,rs=1,rp=c0:4"},
		{"OPEN a k c=feed,d=9,rs=1", "OPEN a k c=feed,d=9,rs=1"},
	} {
		request, err := ParseConnectRequest([]byte(c.line))
		if err != nil {
			t.Fatal(err)
		}
		request.StripResumption()
		if got := request.ForwardLine(now, now.Add(9*time.Millisecond)); got != c.want {
			t.Errorf("%q is forwarded as %q, want %q", c.line, got, c.want)
		}
	}
}

func FuzzParseConnectRequest(f *testing.F) {
	for _, seed := range []string{
		"OPEN a k c=feed,d=9,g=1,rs=TOK", "OPEN rs=1 rs=1 rs=1,c=f,d=1,at=s", "OPEN a k c=,d=1e3", "PING",
	} {
		f.Add(seed)
	}
	f.Fuzz(func(t *testing.T, s string) {
		request, err := ParseConnectRequest([]byte(s))
		if err != nil {
			return
		}
		token := request.ResumeToken
		request.StripResumption()
		now := time.Now()
		forwarded, err := ParseConnectRequest([]byte(request.ForwardLine(now, now.Add(time.Second))))
		if err != nil {
			t.Fatalf("%q is accepted, but the line to forward is not: %v", s, err)
		}
		if forwarded.ID != request.ID || forwarded.Key != request.Key || forwarded.Group != request.Group ||
			forwarded.Endpoint != request.Endpoint || forwarded.ResumePosition != request.ResumePosition {
			t.Errorf("the line to forward changes the fields of %q", s)
		}
		if token != "" && forwarded.ResumeToken != ResumeWanted {
			t.Errorf("%q is forwarded with the token %q", s, forwarded.ResumeToken)
		}
	})
}
