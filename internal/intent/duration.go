package intent

import (
	"encoding/json"
	"time"

	"go.yaml.in/yaml/v3"
)

// Duration is a time.Duration that YAML files and JSON hold as text, such as "250ms".
type Duration time.Duration

// AsDuration returns d as a time.Duration.
func (d Duration) AsDuration() time.Duration { return time.Duration(d) }

// String formats d as ParseDuration reads it.
func (d Duration) String() string { return time.Duration(d).String() }

// DurationError reports a text that is not a duration with a unit.
type DurationError struct {
	Text  string
	Cause error
}

// Error implements error.
func (e *DurationError) Error() string {
	return "not a duration with a unit, such as 250ms or 2s: " + e.Text
}

// Unwrap returns the cause, or nil.
func (e *DurationError) Unwrap() error { return e.Cause }

// ParseDuration reads a duration with a unit, such as "250ms".
// The error is a *DurationError.
func ParseDuration(text string) (Duration, error) {
	d, err := time.ParseDuration(text)
	if err != nil {
		return 0, &DurationError{Text: text, Cause: err}
	}
	return Duration(d), nil
}

// MarshalJSON implements json.Marshaler.
func (d Duration) MarshalJSON() ([]byte, error) { return json.Marshal(d.String()) }

// UnmarshalJSON implements json.Unmarshaler.
func (d *Duration) UnmarshalJSON(b []byte) error {
	var text string
	if err := json.Unmarshal(b, &text); err != nil {
		return &DurationError{Text: string(b), Cause: err}
	}
	return d.set(text)
}

// MarshalYAML implements yaml.Marshaler.
func (d Duration) MarshalYAML() (any, error) { return d.String(), nil }

// UnmarshalYAML implements yaml.Unmarshaler.
func (d *Duration) UnmarshalYAML(n *yaml.Node) error {
	if n.Kind != yaml.ScalarNode {
		return &DurationError{Text: n.Tag}
	}
	return d.set(n.Value)
}

func (d *Duration) set(text string) error {
	v, err := ParseDuration(text)
	if err != nil {
		return err
	}
	*d = v
	return nil
}
