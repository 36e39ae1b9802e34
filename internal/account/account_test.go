package account

import (
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

func keyed(name string, keys ...string) *Account {
	a := &Account{Name: name}
	for _, k := range keys {
		a.Keys = append(a.Keys, DigestOf(k))
	}
	return a
}

func TestIndexFindsAccounts(t *testing.T) {
	one, two := keyed("one", "k1", "k2", "k2"), keyed("two", "k3")
	x, err := NewIndex([]*Account{one, two})
	require.NoError(t, err)
	require.Equal(t, 2, x.Len())
	for key, want := range map[string]*Account{"k1": one, "k2": one, "k3": two} {
		got, ok := x.ByKey(key)
		require.True(t, ok)
		require.Same(t, want, got)
	}
	for _, key := range []string{"", "k", "k11", one.Keys[0].String(), strings.Repeat("x", MaxKeyBytes+1)} {
		_, ok := x.ByKey(key)
		require.False(t, ok, key)
	}
	got, ok := x.ByName("two")
	require.True(t, ok)
	require.Same(t, two, got)
}

// TestIndexComparesWholeDigests guards against an account being found by the first
// bytes of a digest alone.
func TestIndexComparesWholeDigests(t *testing.T) {
	a := keyed("a", "k")
	x, err := NewIndex([]*Account{a})
	require.NoError(t, err)
	other := a.Keys[0]
	other[len(other)-1]++
	_, ok := x.ByDigest(other)
	require.False(t, ok)
}

func TestIndexRejectsDuplicates(t *testing.T) {
	var duplicate *DuplicateError
	_, err := NewIndex([]*Account{keyed("a", "k"), keyed("b", "secret", "k")})
	require.ErrorAs(t, err, &duplicate)
	require.NotContains(t, err.Error(), "secret")
	_, err = NewIndex([]*Account{keyed("a", "k"), keyed("a", "l")})
	require.ErrorAs(t, err, &duplicate)
}

func TestNilIndexHasNoAccounts(t *testing.T) {
	var x *Index
	require.Zero(t, x.Len())
	_, ok := x.ByKey("k")
	require.False(t, ok)
	_, ok = x.ByDigest(DigestOf("k"))
	require.False(t, ok)
	_, ok = x.ByName("a")
	require.False(t, ok)
}

func TestAccountJoinsWithRoute(t *testing.T) {
	var none *Account
	require.True(t, none.Permits("north"))
	require.Equal(t, 3, none.PriorityOr(3))
	zero := 0
	a := &Account{Priority: &zero, HomeRegions: []string{"north"}}
	require.True(t, a.Permits("north"))
	require.False(t, a.Permits("south"))
	require.Equal(t, 0, a.PriorityOr(3), "the highest priority is a given one")
	require.Equal(t, 3, (&Account{}).PriorityOr(3))
}

func TestParseDigest(t *testing.T) {
	d := DigestOf("k")
	for _, text := range []string{d.String(), strings.ToUpper(d.String())} {
		got, ok := ParseDigest(text)
		require.True(t, ok)
		require.Equal(t, d, got)
	}
	for _, text := range []string{"", "ab", d.String() + "00", strings.Repeat("x", 64)} {
		_, ok := ParseDigest(text)
		require.False(t, ok)
	}
}
