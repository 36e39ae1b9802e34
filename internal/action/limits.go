package action

import "time"

// Limits bound the time and memory that actions take. A zero field takes its
// value from DefaultLimits.
type Limits struct {
	// TicketValidity is how long a ticket may be used after its issue.
	TicketValidity time.Duration
	// Retention is how long a record is kept after its ticket has expired.
	Retention time.Duration
	// ClaimRetention is how long a gateway itself remembers a finished action
	// under a caller's own key; the store remembers it for ClaimMemory.
	ClaimRetention time.Duration
	// ClaimMemory is how long the store keeps a claim with an outcome.
	ClaimMemory time.Duration
	// ClaimTimeout bounds the claim of a key, all store calls together.
	ClaimTimeout time.Duration
	// StoreTimeout bounds one store call.
	StoreTimeout time.Duration
	// DefaultTimeout is used for calls without a timeout of their own.
	DefaultTimeout time.Duration
	// MaxRange is the most tickets in one range.
	MaxRange int
	// MaxRecords is the most actions remembered. MaxVoids is the most keys
	// remembered as refused while MaxRecords was reached.
	MaxRecords int
	MaxVoids   int
	// MaxBodyBytes is the longest answer body kept for replays, and
	// MaxKeptBytes the sum of all of them.
	MaxBodyBytes int
	MaxKeptBytes int
	// MaxSeals is the most seals of other incarnations kept.
	MaxSeals int
	// MaxSealBytes is the size of an encoded seal.
	MaxSealBytes int
}

// DefaultLimits are the limits of a gateway.
func DefaultLimits() Limits {
	return Limits{
		TicketValidity: 15 * time.Minute,
		Retention:      45 * time.Minute,
		ClaimRetention: 15 * time.Minute,
		ClaimMemory:    24 * time.Hour,
		ClaimTimeout:   2 * time.Second,
		StoreTimeout:   500 * time.Millisecond,
		DefaultTimeout: 10 * time.Second,
		MaxRange:       256,
		MaxRecords:     20_000,
		MaxVoids:       20_000,
		MaxBodyBytes:   16 << 10,
		MaxKeptBytes:   4 << 20,
		MaxSeals:       64,
		MaxSealBytes:   1 << 20,
	}
}

// orDefault returns v, or def if v is zero.
func orDefault[T int | time.Duration](v, def T) T {
	if v == 0 {
		return def
	}
	return v
}

// withDefaults returns l with its zero fields filled in.
func (l Limits) withDefaults() Limits {
	d := DefaultLimits()
	l.TicketValidity = orDefault(l.TicketValidity, d.TicketValidity)
	l.Retention = orDefault(l.Retention, d.Retention)
	l.ClaimRetention = orDefault(l.ClaimRetention, d.ClaimRetention)
	l.ClaimMemory = orDefault(l.ClaimMemory, d.ClaimMemory)
	l.ClaimTimeout = orDefault(l.ClaimTimeout, d.ClaimTimeout)
	l.StoreTimeout = orDefault(l.StoreTimeout, d.StoreTimeout)
	l.DefaultTimeout = orDefault(l.DefaultTimeout, d.DefaultTimeout)
	l.MaxRange = orDefault(l.MaxRange, d.MaxRange)
	l.MaxRecords = orDefault(l.MaxRecords, d.MaxRecords)
	l.MaxVoids = orDefault(l.MaxVoids, d.MaxVoids)
	l.MaxBodyBytes = orDefault(l.MaxBodyBytes, d.MaxBodyBytes)
	l.MaxKeptBytes = orDefault(l.MaxKeptBytes, d.MaxKeptBytes)
	l.MaxSeals = orDefault(l.MaxSeals, d.MaxSeals)
	l.MaxSealBytes = orDefault(l.MaxSealBytes, d.MaxSealBytes)
	return l
}
