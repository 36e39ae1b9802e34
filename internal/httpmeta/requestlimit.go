package httpmeta

import (
	"fmt"
	"math"
	"strconv"
	"strings"
)

// RequestLimitError reports a request limit that is not a number of requests a second.
type RequestLimitError struct{ Value string }

// Error implements error.
func (e *RequestLimitError) Error() string {
	return fmt.Sprintf("request limit %.40q is not a number of requests a second", e.Value)
}

// ParseRequestLimit returns the lowest of the limits in the values of a header, in
// requests a second, or nil if there are none. The error is a *RequestLimitError for the
// first value that can't be read; the limit is nil then.
func ParseRequestLimit(values []string) (*float64, error) {
	var lowest *float64
	for _, value := range values {
		limit, err := strconv.ParseFloat(strings.TrimSpace(value), 64)
		if err != nil || !(limit >= 0) || math.IsInf(limit, 0) {
			return nil, &RequestLimitError{Value: value}
		}
		if lowest == nil || limit < *lowest {
			lowest = &limit
		}
	}
	return lowest, nil
}
