package rendezvous

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

func TestLosingAMemberMovesOnlyItsKeys(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(2, 30).Draw(t, "members")
		var members []string
		for i := range n {
			members = append(members, fmt.Sprintf("gw%d", i))
		}
		lost := rapid.IntRange(0, n-1).Draw(t, "lost")
		rest := append(append([]string(nil), members[:lost]...), members[lost+1:]...)
		key := rapid.String().Draw(t, "key")
		before := Top(key, members, 1)[0]
		after := Top(key, rest, 1)[0]
		if before != members[lost] {
			require.Equal(t, before, after)
		}
	})
}

func TestOwnsAgreesWithTop(t *testing.T) {
	members := []string{"a", "b", "c", "d", "e"}
	for i := range 50 {
		key := fmt.Sprint(i)
		top := Top(key, members, 2)
		for _, m := range members {
			require.Equal(t, contains(top, m), Owns(key, m, members, 2))
		}
	}
}

func contains(list []string, s string) bool {
	for _, x := range list {
		if x == s {
			return true
		}
	}
	return false
}
