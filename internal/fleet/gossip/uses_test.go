package gossip

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"coralrelay/internal/fleet/account"
	"coralrelay/internal/fleet/quota"
)

// What was used in an epoch's first half reaches others in the second, in one datagram: what
// does not fit was used no more than it says. Nobody's false word is taken for another's.
func TestUsesTravel(t *testing.T) {
	for _, paths := range []int{0, 5, 500} {
		var sent [][]byte
		a, b := NewMember("a", cfg, quota.Guards{}, clock), NewMember("b", cfg, quota.Guards{}, clock)
		a.spread = func(name string, raw []byte) {
			if strings.HasPrefix(name, "used/") {
				sent = append(sent, raw)
			}
		}
		u := account.Usage{HalfEpoch: 11, UsedBefore: map[string]account.Amounts{}}
		for i := range paths {
			u.UsedBefore[fmt.Sprint("acme/web:route-", i)] = account.Amounts{Setups: float64(i + 1), Connections: 7}
		}
		a.PublishUsage(account.Usage{HalfEpoch: 10, UsedBefore: u.UsedBefore})
		a.PublishUsage(u)
		a.PublishUsage(u)
		if len(sent) != 1 || len(sent[0]) > largest {
			t.Fatalf("%d paths: sent %d times", paths, len(sent))
		}
		b.Receive(sent[0])
		if len(b.Usages()) != 0 {
			t.Error("the word of nobody is taken")
		}
		b.SetMemberStatus("a", quota.Alive, nil)
		b.hearAll(a.all()) // as who was cut off
		b.Receive([]byte(`{"used":"a","half":9,"paths":{"acme":[1,0,0]}}`))
		b.Receive([]byte(`{"used":"a","half":12,"paths":{"acme":[-1,0,0]}}`))
		b.Receive([]byte(`{"used":"b","half":12,"paths":{}}`))
		b.Receive([]byte(`{"used":7}`))
		got := b.Usages()
		if len(got) != 1 || got[0].Member != "a" || got[0].HalfEpoch != 11 {
			t.Fatalf("%d paths: %+v", paths, got)
		}
		for path, f := range u.UsedBefore {
			if has, ok := got[0].UsedBefore[path]; ok && has.Setups != f.Setups || !ok && f.Setups > got[0].OmittedMax.Setups {
				t.Errorf("%d paths: %s: %+v, rest %+v", paths, path, has, got[0].OmittedMax)
			}
		}
		if (got[0].OmittedMax.Setups > 0) != (paths == 500) {
			t.Errorf("%d paths: rest %+v", paths, got[0].OmittedMax)
		}
		b.SetMemberStatus("a", quota.Left, nil)
		b.clock = func() time.Duration { return clock() + time.Hour }
		if b.LeaseHolders(); len(b.Usages()) != 0 {
			t.Error("a member that has left is remembered")
		}
	}
}
