package ledger

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
func (r Row) MarshalJSON() ([]byte, error) {
	b := make([]byte, 0, len(r.ID)+32)
	b = append(append(b, '"'), r.ID...)
	for _, n := range []int{r.Running, r.Waiting, (r.Memory + memoryUnit - 1) / memoryUnit, r.Busy} {
		b = strconv.AppendInt(append(b, ' '), int64(n), 10)
	}
	for _, ms := range trimQueued(r.Queued) {
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
func (r *Row) UnmarshalJSON(data []byte) error {
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
	*r = Row{
		ID: fields[0], Running: numbers[0], Waiting: numbers[1], Memory: numbers[2] * memoryUnit,
		Busy: numbers[3], Queued: numbers[4:],
	}
	return nil
}

// hashBase is the base of hashes in readings.
const hashBase = 36

// MarshalJSON implements json.Marshaler: "id hash".
func (r Reading) MarshalJSON() ([]byte, error) {
	return []byte(`"` + r.ID + " " + strconv.FormatUint(r.Hash, hashBase) + `"`), nil
}

// UnmarshalJSON implements json.Unmarshaler.
func (r *Reading) UnmarshalJSON(data []byte) error {
	var text string
	if err := json.Unmarshal(data, &text); err != nil {
		return errors.WithStack(err)
	}
	id, hash, _ := strings.Cut(text, " ")
	n, err := strconv.ParseUint(hash, hashBase, 64)
	if err != nil || id == "" {
		return errors.WithStack(&FormatError{Text: text})
	}
	*r = Reading{ID: id, Hash: n}
	return nil
}

// MarshalJSON implements json.Marshaler: "hash tokens".
func (p Part) MarshalJSON() ([]byte, error) {
	return []byte(`"` + strconv.FormatUint(p.Hash, hashBase) + " " + strconv.Itoa(p.Tokens) + `"`), nil
}

// UnmarshalJSON implements json.Unmarshaler.
func (p *Part) UnmarshalJSON(data []byte) error {
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
	*p = Part{Hash: h, Tokens: n}
	return nil
}
