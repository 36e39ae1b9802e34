package action_test

import (
	"os"
	"testing"

	"github.com/hickorystage/hickorystage/internal/standin/rapidseed"
)

// defaultHistories is the number of random histories if -rapid.checks is not
// given.
const defaultHistories = "400"

func TestMain(m *testing.M) { os.Exit(rapidseed.Run(m, defaultHistories)) }
