package identifier_test

import (
	"fmt"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"

	"github.com/sardinetiller/sardinetiller/internal/account/identifier"
)

func ExampleDirectory_Identify() {
	var d identifier.Directory
	if err := d.Add(identifier.Account{Name: "mill"}, []string{"k1", "k2"}); err != nil {
		fmt.Println(err)
	}
	account, outcome := d.Identify([][]byte{[]byte("Bearer k2")})
	fmt.Println(account.Name, outcome)
	// Output: mill known
}

func newDirectory(t *testing.T) *identifier.Directory {
	t.Helper()
	d := &identifier.Directory{}
	for name, keys := range map[string][]string{"mill": {"k1", "k2"}, "port": {"p-1"}, "keyless": nil} {
		if err := d.Add(identifier.Account{Name: name}, keys); err != nil {
			t.Fatal(err)
		}
	}
	return d
}

func TestIdentify(t *testing.T) {
	d := newDirectory(t)
	for _, tc := range []struct {
		name    string
		values  []string
		account string
		want    identifier.Outcome
	}{
		{"known", []string{"Bearer k1"}, "mill", identifier.Known},
		{"another account's", []string{"Bearer p-1"}, "port", identifier.Known},
		{"lower case", []string{"bearer k1"}, "mill", identifier.Known},
		{"upper case", []string{"BEARER k1"}, "mill", identifier.Known},
		{"spaces around", []string{"  Bearer   k1\t "}, "mill", identifier.Known},
		{"none", nil, "", identifier.Absent},
		{"unknown", []string{"Bearer k3"}, "", identifier.Unknown},
		{"keys are case-sensitive", []string{"Bearer K1"}, "", identifier.Unknown},
		{"a prefix of a key", []string{"Bearer k"}, "", identifier.Unknown},
		{"empty", []string{""}, "", identifier.Malformed},
		{"no key", []string{"Bearer"}, "", identifier.Malformed},
		{"no key after spaces", []string{"Bearer   "}, "", identifier.Malformed},
		{"no space", []string{"Bearerk1"}, "", identifier.Malformed},
		{"another scheme", []string{"Basic k1"}, "", identifier.Malformed},
		{"the key alone", []string{"k1"}, "", identifier.Malformed},
		{"two keys on a line", []string{"Bearer k1 k2"}, "", identifier.Malformed},
		{"two lines", []string{"Bearer k1", "Bearer k1"}, "", identifier.Malformed},
		{"control character", []string{"Bearer k1\x01"}, "", identifier.Malformed},
		{"longest", []string{"Bearer " + strings.Repeat("k", 512)}, "", identifier.Unknown},
		{"too long", []string{"Bearer " + strings.Repeat("k", 513)}, "", identifier.Malformed},
	} {
		t.Run(tc.name, func(t *testing.T) {
			var values [][]byte
			for _, v := range tc.values {
				values = append(values, []byte(v))
			}
			account, got := d.Identify(values)
			name := ""
			if account != nil {
				name = account.Name
			}
			if diff := cmp.Diff([]any{tc.account, tc.want}, []any{name, got}); diff != "" {
				t.Error(diff)
			}
		})
	}
}

func TestAddRefuses(t *testing.T) {
	for _, tc := range []struct {
		name    string
		account string
		keys    []string
		want    string
	}{
		{"a key that another account has", "new", []string{"p-1"}, "accounts port and new have the same key; give each its own"},
		{"a name that is taken", "mill", nil, "account mill is declared twice"},
		{"no name", "", nil, "an account has no name"},
		{"an empty key", "new", []string{"n1", ""}, "key 2 of account new is malformed; a key has 1 to 512 characters without spaces"},
		{"a key with a space", "new", []string{"n 1"}, "key 1 of account new is malformed; a key has 1 to 512 characters without spaces"},
	} {
		t.Run(tc.name, func(t *testing.T) {
			err := newDirectory(t).Add(identifier.Account{Name: tc.account}, tc.keys)
			if err == nil {
				t.Fatal("the account was accepted")
			}
			if diff := cmp.Diff(tc.want, err.Error()); diff != "" {
				t.Error(diff)
			}
		})
	}
}

// Guards against a configuration that is refused because an account lists a key twice.
func TestKeyMayBeListedTwice(t *testing.T) {
	var d identifier.Directory
	if err := d.Add(identifier.Account{Name: "mill"}, []string{"k1", "k1"}); err != nil {
		t.Error(err)
	}
}

// Guards against header values that crash the process or are accepted without a valid key.
func FuzzIdentify(f *testing.F) {
	for _, seed := range []string{"Bearer k1", "bearer\tk1", "Bearer", "Basic k1", "\x00", "Bearer " + strings.Repeat("a", 600)} {
		f.Add(seed)
	}
	f.Fuzz(func(t *testing.T, value string) {
		var d identifier.Directory
		if err := d.Add(identifier.Account{Name: "mill"}, []string{"k1"}); err != nil {
			t.Fatal(err)
		}
		account, outcome := d.Identify([][]byte{[]byte(value)})
		if (account != nil) != (outcome == identifier.Known) {
			t.Errorf("%q: account %v, outcome %s", value, account, outcome)
		}
		if account != nil && !strings.EqualFold(strings.Join(strings.Fields(value), " "), "bearer k1") {
			t.Errorf("%q is accepted as k1", value)
		}
	})
}

func BenchmarkIdentify(b *testing.B) {
	for _, accounts := range []int{16, 10000} {
		b.Run(fmt.Sprint(accounts), func(b *testing.B) {
			var d identifier.Directory
			for n := range accounts {
				if err := d.Add(identifier.Account{Name: fmt.Sprint("account-", n)}, []string{fmt.Sprint("key-", n)}); err != nil {
					b.Fatal(err)
				}
			}
			values := [][]byte{[]byte("Bearer key-7")}
			b.ReportAllocs()
			for b.Loop() {
				if _, outcome := d.Identify(values); outcome != identifier.Known {
					b.Fatal(outcome)
				}
			}
		})
	}
}
