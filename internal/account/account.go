// Package account defines client accounts and finds the account that a caller's
// key belongs to. Keys are kept as digests only. Both halves of the product use it:
// the routes and, through internal/intent, the chats.
package account

import (
	"crypto/sha256"
	"encoding/hex"
	"slices"
)

// MaxKeyBytes is the maximum length of a key in bytes. Longer keys are treated as
// unknown without being hashed.
const MaxKeyBytes = 512

// Digest is the SHA-256 digest of a key.
type Digest [sha256.Size]byte

// DigestOf returns the digest of a key.
func DigestOf(key string) Digest { return sha256.Sum256([]byte(key)) }

// ParseDigest parses the hex form of a digest, in upper or lower case. ok is false
// for any other text.
func ParseDigest(text string) (d Digest, ok bool) {
	if len(text) != hex.EncodedLen(len(d)) {
		return Digest{}, false
	}
	if _, err := hex.Decode(d[:], []byte(text)); err != nil {
		return Digest{}, false
	}
	return d, true
}

// String returns the digest in lower-case hex.
func (d Digest) String() string { return hex.EncodeToString(d[:]) }

// Account is a client account. It is immutable.
type Account struct {
	Name string
	// Keys are the digests of the keys with which callers use the account.
	Keys []Digest
	// Priority takes precedence over that of a route; nil if the account has none. 0 is
	// the highest on routes.
	Priority *int
	// HomeRegions lists the regions that may process the account's requests. If it
	// is empty, all regions may.
	HomeRegions []string
	// Allowance limits what all gateways together run for the account.
	Allowance Allowance
}

// Permits reports whether the region may process the account's requests. It is true
// for a nil account.
func (a *Account) Permits(region string) bool {
	return a == nil || len(a.HomeRegions) == 0 || slices.Contains(a.HomeRegions, region)
}

// PriorityOr returns the account's priority, or that of the route if the account is
// nil or has none.
func (a *Account) PriorityOr(route int) int {
	if a == nil || a.Priority == nil {
		return route
	}
	return *a.Priority
}

// HasPriority reports whether the account has a priority, which goes before that of a route.
func (a *Account) HasPriority() bool { return a != nil && a.Priority != nil }

// Unit is what an allowance counts.
type Unit int

// The units of allowances.
const (
	// Requests counts each request as 1.
	Requests Unit = iota
	// Tokens counts the prompt tokens and the maximum output tokens of a request.
	Tokens
)

// String returns the unit's name in the configuration and in logs.
func (u Unit) String() string {
	if u == Tokens {
		return "tokens"
	}
	return "requests"
}

// Allowance is what an account may use over all gateways together. It is comparable.
type Allowance struct {
	Unit Unit
	// PlainTokens is the cost of a request without a token count where Unit is Tokens.
	PlainTokens int
	// RatePerSecond and Burst are in the unit. A rate of 0 means that there is no limit.
	RatePerSecond float64
	Burst         float64
}

// IsLimited reports whether the allowance sets a limit.
func (a Allowance) IsLimited() bool { return a.RatePerSecond > 0 }
