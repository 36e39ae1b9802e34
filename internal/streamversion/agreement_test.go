package streamversion_test

import (
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/hickorystage/hickorystage/internal/streamversion"
)

// TestAgreementHoldsOfSoundGateways checks by random gateways that a version is taken for the only
// one just if one has followed it, another one agrees and none contradicts, in whatever order they
// are heard.
func TestAgreementHoldsOfSoundGateways(t *testing.T) {
	version := rapid.SampledFrom([]string{"", "v1", "v1", "v1", "v2"})
	rapid.Check(t, func(t *rapid.T) {
		var agreement streamversion.Agreement
		named, followed, agreeing, several := make(map[string]bool), false, 0, false
		for range rapid.IntRange(0, 6).Draw(t, "gateways") {
			k := streamversion.ServiceVersions{Current: version.Draw(t, "current"), HasSeveral: rapid.IntRange(0, 9).Draw(t, "several") == 0}
			if rapid.Bool().Draw(t, "has followed") {
				k.Sole = k.Current
			}
			agreement.Add(k)
			several = several || k.HasSeveral
			if k.Current != "" {
				named[k.Current] = true
				followed = followed || k.Sole != ""
				agreeing++
			}
		}
		for _, isAlone := range []bool{false, true} {
			got, ok := agreement.Sole(isAlone)
			require.Equal(t, !several && len(named) == 1 && followed && (agreeing > 1 || isAlone), ok)
			if ok {
				require.True(t, named[got])
			}
		}
	})
}
