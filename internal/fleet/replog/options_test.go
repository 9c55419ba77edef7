package replog

import (
	"errors"
	"fmt"
	"strings"
	"testing"
)

func TestCheckVotersRejectsBadSets(t *testing.T) {
	set := func(zones ...string) (v []Voter) {
		for i, z := range zones {
			v = append(v, Voter{Name: fmt.Sprint("v", i), Addr: fmt.Sprintf("127.0.0.%d:7000", i+1), Zone: z})
		}
		return v
	}
	duplicate := set("a", "b", "c")
	duplicate[2].Addr = duplicate[0].Addr
	for want, voters := range map[string][]Voter{
		"":                                       set("a", "b", "c"),
		"zone a holds 2 of 3":                    set("a", "a", "b"),
		"zone b holds 3 of 5":                    set("a", "b", "b", "c", "b"),
		"4, want 3 or 5":                         set("a", "b", "c", "d"),
		"address 127.0.0.1:7000 is listed twice": duplicate,
		`name ""`:                                append(set("a", "b"), Voter{Addr: "127.0.0.9:1"}),
		"v2: address nowhere: missing p":         append(set("a", "b"), Voter{Name: "v2", Addr: "nowhere"}),
	} {
		err := CheckVoters(voters)
		if want == "" && err == nil {
			continue
		}
		var optionErr *OptionError
		if want == "" || !errors.As(err, &optionErr) || !strings.Contains(err.Error(), "fleet.record.voters: "+want) {
			t.Errorf("%v: %v, want %q", voters, err, want)
		}
	}
	for _, voters := range [][]Voter{set("a", "a", "a"), set("", "", ""), set("a", "a", "b", "b", "c")} {
		if err := CheckVoters(voters); err != nil {
			t.Errorf("%v: %v", voters, err)
		}
	}
}
