package action

import "time"

// Limits bound the time and memory used by actions. A zero field takes its
// value from DefaultLimits.
type Limits struct {
	// TicketValidity is how long a ticket may be used after it was issued.
	TicketValidity time.Duration
	// TicketRecordRetention is how long a record is kept after its ticket has
	// expired.
	TicketRecordRetention time.Duration
	// ClaimRecordRetention is how long a gateway keeps its record of an action
	// under a caller key once the store holds the outcome. The store keeps the
	// outcome for StoredClaimRetention.
	ClaimRecordRetention time.Duration
	// StoredClaimRetention is how long the store keeps a claim with an outcome.
	StoredClaimRetention time.Duration
	// ClaimTimeout bounds the claiming of a key, with all its store calls.
	ClaimTimeout time.Duration
	// StoreTimeout bounds one store call.
	StoreTimeout time.Duration
	// DefaultTimeout is used for calls whose Timeout is 0.
	DefaultTimeout time.Duration
	// MaxRangeTickets is the maximum number of tickets in one range.
	MaxRangeTickets int
	// MaxRecords is the maximum number of records of actions. MaxVoidRecords is
	// the maximum number of records of tickets that were closed without
	// running: they were refused because MaxRecords was reached, or queried
	// before they were used.
	MaxRecords     int
	MaxVoidRecords int
	// MaxReplayBodyBytes is the maximum length of a response body that is kept
	// for replays, and MaxTotalReplayBytes that of all of them together.
	MaxReplayBodyBytes  int
	MaxTotalReplayBytes int
	// MaxCachedSeals is the maximum number of cached seals of other
	// incarnations.
	MaxCachedSeals int
	// MaxSealBytes is the maximum size of this incarnation's encoded seal.
	MaxSealBytes int
}

// DefaultLimits returns the limits of a gateway.
func DefaultLimits() Limits {
	return Limits{
		TicketValidity:        15 * time.Minute,
		TicketRecordRetention: 45 * time.Minute,
		ClaimRecordRetention:  15 * time.Minute,
		StoredClaimRetention:  24 * time.Hour,
		ClaimTimeout:          2 * time.Second,
		StoreTimeout:          500 * time.Millisecond,
		DefaultTimeout:        10 * time.Second,
		MaxRangeTickets:       256,
		MaxRecords:            20_000,
		MaxVoidRecords:        20_000,
		MaxReplayBodyBytes:    16 << 10,
		MaxTotalReplayBytes:   4 << 20,
		MaxCachedSeals:        64,
		MaxSealBytes:          1 << 20,
	}
}

// orDefault returns v, or def if v is zero.
func orDefault[T int | time.Duration](v, def T) T {
	if v == 0 {
		return def
	}
	return v
}

// withDefaults returns l with the default values in its zero fields.
func (l Limits) withDefaults() Limits {
	d := DefaultLimits()
	l.TicketValidity = orDefault(l.TicketValidity, d.TicketValidity)
	l.TicketRecordRetention = orDefault(l.TicketRecordRetention, d.TicketRecordRetention)
	l.ClaimRecordRetention = orDefault(l.ClaimRecordRetention, d.ClaimRecordRetention)
	l.StoredClaimRetention = orDefault(l.StoredClaimRetention, d.StoredClaimRetention)
	l.ClaimTimeout = orDefault(l.ClaimTimeout, d.ClaimTimeout)
	l.StoreTimeout = orDefault(l.StoreTimeout, d.StoreTimeout)
	l.DefaultTimeout = orDefault(l.DefaultTimeout, d.DefaultTimeout)
	l.MaxRangeTickets = orDefault(l.MaxRangeTickets, d.MaxRangeTickets)
	l.MaxRecords = orDefault(l.MaxRecords, d.MaxRecords)
	l.MaxVoidRecords = orDefault(l.MaxVoidRecords, d.MaxVoidRecords)
	l.MaxReplayBodyBytes = orDefault(l.MaxReplayBodyBytes, d.MaxReplayBodyBytes)
	l.MaxTotalReplayBytes = orDefault(l.MaxTotalReplayBytes, d.MaxTotalReplayBytes)
	l.MaxCachedSeals = orDefault(l.MaxCachedSeals, d.MaxCachedSeals)
	l.MaxSealBytes = orDefault(l.MaxSealBytes, d.MaxSealBytes)
	return l
}
