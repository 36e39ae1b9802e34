package gateway

import (
	"os"
	"testing"

	"github.com/hickorystage/hickorystage/internal/standin/rapidseed"
)

// defaultChecks is the number of random cases unless -rapid.checks is set.
const defaultChecks = "2000"

func TestMain(m *testing.M) { os.Exit(rapidseed.Run(m, defaultChecks)) }
