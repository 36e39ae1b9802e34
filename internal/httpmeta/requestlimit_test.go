package httpmeta

import (
	"testing"

	"github.com/stretchr/testify/require"
)

func TestParseRequestLimit(t *testing.T) {
	limit, err := ParseRequestLimit(nil)
	require.NoError(t, err)
	require.Nil(t, limit)
	for want, values := range map[float64][]string{2.2: {"2.2"}, 0: {" 0 "}, 1.5: {"3", "1.5", "2"}} {
		limit, err := ParseRequestLimit(values)
		require.NoError(t, err)
		require.InDelta(t, want, *limit, 0)
	}
	for _, value := range []string{"", "-1", "NaN", "Inf", "1e999", "two", "2,2"} {
		limit, err := ParseRequestLimit([]string{"1", value})
		require.Nil(t, limit, value)
		var unreadable *RequestLimitError
		require.ErrorAs(t, err, &unreadable)
		require.Equal(t, value, unreadable.Value)
	}
}
