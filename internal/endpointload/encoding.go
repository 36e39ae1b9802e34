package endpointload

import (
	"encoding/json"
	"fmt"
	"strconv"
	"strings"

	"github.com/cockroachdb/errors"
)

// Rows and readings make up most of what gateways send each other many times a
// second. In JSON each is one short text in place of an object.

// memoryUnit is the number of tokens that a row counts memory in.
const memoryUnit = 1024

// FormatError says that a text is no row or reading.
type FormatError struct{ Text string }

// Error implements error.
func (e *FormatError) Error() string { return fmt.Sprintf("%q is no row or reading", e.Text) }

// rowFields is the number of fields of a row before its queue.
const rowFields = 5

// MarshalJSON implements json.Marshaler: "id running waiting memory busy
// queued...", memory in units of 1024 tokens.
func (r EndpointLoad) MarshalJSON() ([]byte, error) {
	b := make([]byte, 0, len(r.ID)+32)
	b = append(append(b, '"'), r.ID...)
	for _, n := range []int{r.Running, r.Waiting, (r.KVTokens + memoryUnit - 1) / memoryUnit, r.RecentPrefillMillis} {
		b = strconv.AppendInt(append(b, ' '), int64(n), 10)
	}
	for _, ms := range trimQueued(r.QueuedPrefillMillis) {
		b = strconv.AppendInt(append(b, ' '), int64(ms), 10)
	}
	return append(b, '"'), nil
}

// trimQueued drops the urgencies that wait no longer than the one before.
func trimQueued(q []int) []int {
	for len(q) > 1 && q[len(q)-1] == q[len(q)-2] {
		q = q[:len(q)-1]
	}
	if len(q) == 1 && q[0] == 0 {
		return nil
	}
	return q
}

// UnmarshalJSON implements json.Unmarshaler.
func (r *EndpointLoad) UnmarshalJSON(data []byte) error {
	var text string
	if err := json.Unmarshal(data, &text); err != nil {
		return errors.WithStack(err)
	}
	fields := strings.Fields(text)
	if len(fields) < rowFields || len(fields) > rowFields+urgencies {
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
	*r = EndpointLoad{
		ID: fields[0], Running: numbers[0], Waiting: numbers[1], KVTokens: numbers[2] * memoryUnit,
		RecentPrefillMillis: numbers[3], QueuedPrefillMillis: numbers[4:],
	}
	return nil
}

// hashBase is the base of hashes in readings.
const hashBase = 36

// MarshalJSON implements json.Marshaler: "id hash".
func (r CachedPrefix) MarshalJSON() ([]byte, error) {
	return []byte(`"` + r.ID + " " + strconv.FormatUint(r.PrefixHash, hashBase) + `"`), nil
}

// UnmarshalJSON implements json.Unmarshaler.
func (r *CachedPrefix) UnmarshalJSON(data []byte) error {
	var text string
	if err := json.Unmarshal(data, &text); err != nil {
		return errors.WithStack(err)
	}
	id, hash, _ := strings.Cut(text, " ")
	n, err := strconv.ParseUint(hash, hashBase, 64)
	if err != nil || id == "" {
		return errors.WithStack(&FormatError{Text: text})
	}
	*r = CachedPrefix{ID: id, PrefixHash: n}
	return nil
}

// MarshalJSON implements json.Marshaler: "hash tokens".
func (p Segment) MarshalJSON() ([]byte, error) {
	return []byte(`"` + strconv.FormatUint(p.PrefixHash, hashBase) + " " + strconv.Itoa(p.Tokens) + `"`), nil
}

// UnmarshalJSON implements json.Unmarshaler.
func (p *Segment) UnmarshalJSON(data []byte) error {
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
	*p = Segment{PrefixHash: h, Tokens: n}
	return nil
}
