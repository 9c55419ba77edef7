package routeupdate

import (
	"reflect"
	"testing"
)

func TestDiffListsAddedChangedAndRemoved(t *testing.T) {
	kept, changed := Entry{Name: "kept", Owner: "acme"}, Entry{Name: "changed", Owner: "acme"}
	gone, added := Entry{Name: "gone", Owner: "acme"}, Entry{Name: "added", Owner: "acme"}
	before := Update{
		Index: 4, Complete: true,
		Set: []Entry{changed, gone, kept},
		Allocations: []Allocation{
			{Contract: "gone", Shares: map[string]float64{"a": 1}}, {Contract: "kept"}},
		ReadyEndpoints: map[string]int{"a": 3},
	}
	changed.Contract = "gold"
	after := Update{
		Index: 9, Complete: true,
		Set:         []Entry{added, changed, kept},
		Allocations: []Allocation{{Contract: "added", RejectedShare: 0.5}, {Contract: "kept"}},
	}
	want := Update{
		Index: 9, BaseIndex: 4,
		Set:            []Entry{added, changed},
		Removed:        []string{"acme:gone"},
		Allocations:    []Allocation{{Contract: "added", RejectedShare: 0.5}, {Contract: "gone"}},
		ReadyEndpoints: map[string]int{},
	}
	if got := Diff(before, after); !reflect.DeepEqual(got, want) {
		t.Errorf("update %+v, want %+v", got, want)
	}
	if got := Diff(after, after); !reflect.DeepEqual(got, Update{Index: 9, BaseIndex: 9}) {
		t.Errorf("equal updates: %+v", got)
	}
}
