package relayer

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/google/go-cmp/cmp/cmpopts"

	"github.com/sardinetiller/sardinetiller/internal/account/limiter"
	"github.com/sardinetiller/sardinetiller/internal/wire/encoder"
)

// The messages as they were before there was a demand.
type (
	formerSettle struct {
		_            struct{} `cbor:",toarray"`
		Reporter     limiter.Reporter
		Spent        []formerSpent
		Unsubscribed bool
	}

	formerSettled struct {
		_        struct{} `cbor:",toarray"`
		Age      time.Duration
		Balances []formerBalance
	}

	formerSpent struct {
		_       struct{} `cbor:",toarray"`
		Account string
		Counter int64
		Recent  int64
		Want    int64
		Seq     int64
	}

	formerBalance struct {
		_       struct{} `cbor:",toarray"`
		Account string
		Counted int64
		Granted bool
		Left    int64
		Usage   int64
	}
)

var ignoreBlank = cmpopts.IgnoreUnexported(limiter.Reporter{}, limiter.Spent{}, limiter.Balance{})

// Guards against messages that change where requests are not admitted by urgency.
func TestQuotaMessagesWithoutDemandAreUnchanged(t *testing.T) {
	from := limiter.Reporter{Instance: "front-1", Incarnation: 7, Domain: "d", Age: time.Minute}
	for _, tc := range []struct {
		name    string
		message Message
		former  any
	}{
		{
			"settle",
			Settle{Reporter: from, Spent: []limiter.Spent{{Account: "mill", Counter: 1e6, Recent: -2, Want: 3, Seq: 4}, {Account: "tile"}}},
			formerSettle{Reporter: from, Spent: []formerSpent{{Account: "mill", Counter: 1e6, Recent: -2, Want: 3, Seq: 4}, {Account: "tile"}}},
		},
		{"unsubscribed", Settle{Reporter: from, Unsubscribed: true}, formerSettle{Reporter: from, Unsubscribed: true}},
		{"nothing spent", Settle{Reporter: from, Spent: []limiter.Spent{}}, formerSettle{Reporter: from, Spent: []formerSpent{}}},
		{
			"settled",
			Settled{Age: time.Hour, Balances: []limiter.Balance{{Account: "mill", Counted: 5, Granted: true, Left: -6, Usage: 7}}},
			formerSettled{Age: time.Hour, Balances: []formerBalance{{Account: "mill", Counted: 5, Granted: true, Left: -6, Usage: 7}}},
		},
		{"no balance", Settled{}, formerSettled{}},
	} {
		t.Run(tc.name, func(t *testing.T) {
			got, err := encoder.Marshal(tc.message)
			if err != nil {
				t.Fatal(err)
			}
			want, err := encoder.Marshal(tc.former)
			if err != nil {
				t.Fatal(err)
			}
			if diff := cmp.Diff(want, got); diff != "" {
				t.Error(diff)
			}
		})
	}
}

func TestQuotaMessagesAreDecoded(t *testing.T) {
	for _, m := range []Message{
		Settle{Spent: []limiter.Spent{{Account: "mill", Counter: 1, Want: 5, Level: -1, Asked: []int64{1, 2, 3, 4}}, {Account: "tile"}}},
		Settle{Reporter: limiter.Reporter{Instance: "front-1"}, Spent: []limiter.Spent{{Account: "mill", Seq: 3}}},
		Settle{Unsubscribed: true},
		Settled{Age: time.Second, Balances: []limiter.Balance{{Account: "mill", Left: 3, Demand: []int64{5, 6, 0, 0}}, {Account: "tile"}}},
		Settled{Age: time.Second, Balances: []limiter.Balance{{Account: "mill", Left: 3}}},
	} {
		data, err := encodeFrame(1, 2, m)
		if err != nil {
			t.Fatal(err)
		}
		_, got, err := decodeFrame(data)
		if err != nil {
			t.Fatal(err)
		}
		if diff := cmp.Diff(m, got, ignoreBlank); diff != "" {
			t.Error(diff)
		}
	}
}

// Guards against a peer that crashes this process with a demand that does not match the accounts.
func TestMalformedQuotaMessages(t *testing.T) {
	reporter := limiter.Reporter{Instance: "front-1"}
	spent := []limiter.Spent{{Account: "mill"}}
	for _, tc := range []struct {
		name     string
		elements []any
		into     any
	}{
		{"too short", []any{reporter, spent}, new(Settle)},
		{"too long", []any{reporter, spent, false, nil, nil}, new(Settle)},
		{"demand of more accounts", []any{reporter, spent, false, [][]any{{1, []int64{1}}, {1, []int64{1}}}}, new(Settle)},
		{"no demand", []any{reporter, spent, false, "none"}, new(Settle)},
		{"balances of fewer accounts", []any{1, []limiter.Balance{{}, {}}, [][]int64{{1}}}, new(Settled)},
		{"no array", nil, new(Settled)},
	} {
		t.Run(tc.name, func(t *testing.T) {
			data, err := encoder.Marshal(tc.elements)
			if err != nil {
				t.Fatal(err)
			}
			if err := encoder.Unmarshal(data, tc.into); err == nil {
				t.Errorf("decoded as %+v", tc.into)
			}
		})
	}
}
