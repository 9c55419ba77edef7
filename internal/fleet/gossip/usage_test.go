package gossip

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"coralrelay/internal/fleet/account"
	"coralrelay/internal/fleet/quota"
)

// The usage of an epoch's first half reaches other members in the second half, in one message. An omitted
// path was used no more than the message's OmittedMax. Messages that are old or invalid, or that name an
// unknown member or the receiver itself, are rejected.
func TestUsageReachesOtherMembersInOneMessage(t *testing.T) {
	for _, paths := range []int{0, 5, 500} {
		var sent [][]byte
		sender := NewMember("a", testQuotaConfig, quota.Guards{}, systemClock)
		receiver := NewMember("b", testQuotaConfig, quota.Guards{}, systemClock)
		sender.enqueue = func(name string, raw []byte) {
			if strings.HasPrefix(name, "used/") {
				sent = append(sent, raw)
			}
		}
		usage := account.Usage{HalfEpoch: 11, UsedBefore: map[string]account.Amounts{}}
		for i := range paths {
			usage.UsedBefore[fmt.Sprint("acme/web:route-", i)] = account.Amounts{Setups: float64(i + 1), Connections: 7}
		}
		sender.PublishUsage(account.Usage{HalfEpoch: 10, UsedBefore: usage.UsedBefore})
		sender.PublishUsage(usage)
		sender.PublishUsage(usage)
		if len(sent) != 1 || len(sent[0]) > maxPayloadBytes {
			t.Fatalf("%d paths: %d messages sent, want 1 of at most maxPayloadBytes", paths, len(sent))
		}
		receiver.Receive(sent[0])
		if len(receiver.Usages()) != 0 {
			t.Error("the usage of an unknown member is accepted")
		}
		receiver.SetMemberStatus("a", quota.Alive, nil)
		receiver.receiveState(sender.encodeState()) // as after a partition
		receiver.Receive([]byte(`{"used":"a","half":9,"paths":{"acme":[1,0,0]}}`))
		receiver.Receive([]byte(`{"used":"a","half":12,"paths":{"acme":[-1,0,0]}}`))
		receiver.Receive([]byte(`{"used":"b","half":12,"paths":{}}`))
		receiver.Receive([]byte(`{"used":7}`))
		got := receiver.Usages()
		if len(got) != 1 || got[0].Member != "a" || got[0].HalfEpoch != 11 {
			t.Fatalf("%d paths: usages %+v", paths, got)
		}
		for path, amounts := range usage.UsedBefore {
			received, ok := got[0].UsedBefore[path]
			if ok && received.Setups != amounts.Setups || !ok && amounts.Setups > got[0].OmittedMax.Setups {
				t.Errorf("%d paths: %s: %+v, omitted %+v", paths, path, received, got[0].OmittedMax)
			}
		}
		if (got[0].OmittedMax.Setups > 0) != (paths == 500) {
			t.Errorf("%d paths: omitted %+v", paths, got[0].OmittedMax)
		}
		receiver.SetMemberStatus("a", quota.Left, nil)
		receiver.clock = func() time.Duration { return systemClock() + time.Hour }
		if receiver.LeaseHolders(); len(receiver.Usages()) != 0 {
			t.Error("the usage of a member that has left is kept")
		}
	}
}
