package endpointload

import (
	"encoding/json"
	"fmt"
	"strconv"
	"strings"

	"github.com/cockroachdb/errors"
)

// Loads and cached prefixes make up most of the data that gateways exchange
// several times a second. For compactness each is encoded in JSON as one string
// instead of an object.

// kvTokenUnit is the number of tokens in which an encoded load counts KV cache.
const kvTokenUnit = 1024

// FormatError reports a string that is not an encoded load, cached prefix or
// segment.
type FormatError struct{ Text string }

// Error implements error.
func (e *FormatError) Error() string {
	return fmt.Sprintf("%q is not an encoded load, cached prefix or segment", e.Text)
}

// minLoadFields is the number of fields of an encoded load before its queues.
const minLoadFields = 5

// MarshalJSON implements json.Marshaler with the format "id running waiting
// memory recent-prefill queued-prefill...", where memory is in units of 1024
// tokens, rounded up, and times are in milliseconds.
func (l EndpointLoad) MarshalJSON() ([]byte, error) {
	b := make([]byte, 0, len(l.ID)+32)
	b = append(append(b, '"'), l.ID...)
	for _, n := range []int{l.Running, l.Waiting, (l.KVTokens + kvTokenUnit - 1) / kvTokenUnit, l.RecentPrefillMillis} {
		b = strconv.AppendInt(append(b, ' '), int64(n), 10)
	}
	for _, ms := range trimQueues(l.QueuedPrefillMillis) {
		b = strconv.AppendInt(append(b, ' '), int64(ms), 10)
	}
	return append(b, '"'), nil
}

// trimQueues drops trailing priorities that wait no longer than the one before.
func trimQueues(queues []int) []int {
	for len(queues) > 1 && queues[len(queues)-1] == queues[len(queues)-2] {
		queues = queues[:len(queues)-1]
	}
	if len(queues) == 1 && queues[0] == 0 {
		return nil
	}
	return queues
}

// UnmarshalJSON implements json.Unmarshaler.
func (l *EndpointLoad) UnmarshalJSON(data []byte) error {
	var text string
	if err := json.Unmarshal(data, &text); err != nil {
		return errors.WithStack(err)
	}
	fields := strings.Fields(text)
	if len(fields) < minLoadFields || len(fields) > minLoadFields+priorityLevels {
		return errors.WithStack(&FormatError{Text: text})
	}
	numbers := make([]int, 0, len(fields))
	for _, f := range fields[1:] {
		n, err := strconv.Atoi(f)
		if err != nil || n < 0 {
			return errors.WithStack(&FormatError{Text: text})
		}
		numbers = append(numbers, n)
	}
	*l = EndpointLoad{
		ID: fields[0], Running: numbers[0], Waiting: numbers[1], KVTokens: numbers[2] * kvTokenUnit,
		RecentPrefillMillis: numbers[3], QueuedPrefillMillis: numbers[4:],
	}
	return nil
}

// hashBase is the number base of encoded hashes.
const hashBase = 36

// MarshalJSON implements json.Marshaler with the format "id hash".
func (p CachedPrefix) MarshalJSON() ([]byte, error) {
	return []byte(`"` + p.ID + " " + strconv.FormatUint(p.PrefixHash, hashBase) + `"`), nil
}

// UnmarshalJSON implements json.Unmarshaler.
func (p *CachedPrefix) UnmarshalJSON(data []byte) error {
	var text string
	if err := json.Unmarshal(data, &text); err != nil {
		return errors.WithStack(err)
	}
	id, hash, _ := strings.Cut(text, " ")
	n, err := strconv.ParseUint(hash, hashBase, 64)
	if err != nil || id == "" {
		return errors.WithStack(&FormatError{Text: text})
	}
	*p = CachedPrefix{ID: id, PrefixHash: n}
	return nil
}

// MarshalJSON implements json.Marshaler with the format "hash tokens".
func (s Segment) MarshalJSON() ([]byte, error) {
	return []byte(`"` + strconv.FormatUint(s.PrefixHash, hashBase) + " " + strconv.Itoa(s.Tokens) + `"`), nil
}

// UnmarshalJSON implements json.Unmarshaler.
func (s *Segment) UnmarshalJSON(data []byte) error {
	var text string
	if err := json.Unmarshal(data, &text); err != nil {
		return errors.WithStack(err)
	}
	hash, tokens, _ := strings.Cut(text, " ")
	h, err := strconv.ParseUint(hash, hashBase, 64)
	n, tokensErr := strconv.Atoi(tokens)
	if err != nil || tokensErr != nil || n < 0 {
		return errors.WithStack(&FormatError{Text: text})
	}
	*s = Segment{PrefixHash: h, Tokens: n}
	return nil
}
