package gateway

import (
	"os"
	"testing"

	"github.com/hickorystage/hickorystage/internal/standin/rapidseed"
)

// cases is the number of random cases unless -rapid.checks is given.
const cases = "2000"

func TestMain(m *testing.M) { os.Exit(rapidseed.Run(m, cases)) }
