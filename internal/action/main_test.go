package action_test

import (
	"os"
	"testing"

	"github.com/hickorystage/hickorystage/internal/standin/rapidseed"
)

// histories is the number of random histories unless -rapid.checks is given.
const histories = "400"

func TestMain(m *testing.M) { os.Exit(rapidseed.Run(m, histories)) }
