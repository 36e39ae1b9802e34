package processtest_test

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/hickorystage/hickorystage/internal/processtest"
)

// TestFreeAddressReturnsNoAddressTwice guards against processes that exit since another one
// of the same test was given their address.
func TestFreeAddressReturnsNoAddressTwice(t *testing.T) {
	seen := make(map[string]bool)
	for range 2000 {
		address := processtest.FreeAddress(t)
		require.False(t, seen[address], address)
		seen[address] = true
	}
}
