package edge

import (
	"time"

	"github.com/hickorystage/hickorystage/internal/account"
	"github.com/hickorystage/hickorystage/internal/failure"
	"github.com/hickorystage/hickorystage/internal/freshness"
	"github.com/hickorystage/hickorystage/internal/telemetry"
)

// maxCountedAccounts bounds the number of accounts with counters of their own.
const maxCountedAccounts = 64

var (
	accountRequests  = telemetry.NewCounterFamily("account_requests", "requests", "caller requests of each client account", "account", maxCountedAccounts)
	accountRefusals  = telemetry.NewCounterFamily("account_refusals", "requests", "caller requests of each client account that got an error of the gateway", "account", maxCountedAccounts)
	keysMissing      = telemetry.NewCounter("keys_missing", "requests", "route requests refused because they have no key")
	keysUnknown      = telemetry.NewCounter("keys_unknown", "requests", "route requests refused because their key is not in the configuration")
	keysUnproved     = telemetry.NewCounter("keys_unproved", "requests", "route requests refused because the configuration isn't known to be current")
	forwardsUnproved = telemetry.NewCounter("keys_trusted", "requests", "forwarded requests whose account was taken from a gateway with a newer configuration")
)

// Freshness holds what proves that the configuration in force is current.
type Freshness struct {
	Tracker *freshness.Tracker
	Clock   freshness.Clock
}

// isProvedCurrent reports whether the configuration in force is known to be recent
// enough for requests with keys. It is where the settings don't ask for that.
func (e *Edge) isProvedCurrent() bool {
	limits := e.Board.Settings.Get().Limits
	return !limits.RevokeStrict || e.Freshness.Tracker.MayServe(e.Freshness.Clock.Now(), limits.Revocation)
}

// identify finds the account of the request and removes its key, so that nothing passes
// it on. The error is a *failure.Refusal. isCurrent is the result of isProvedCurrent
// before the configuration was read.
func (s *session) identify(isCurrent bool) error {
	if s.forwarded != nil {
		return s.identifyForwarded()
	}
	if s.table.Accounts == nil {
		return nil
	}
	key := s.takeKey()
	a, ok := s.table.Accounts.ByKey(key)
	if ok {
		s.account, s.keyDigest = a, account.DigestOf(key)
		s.unproved = !isCurrent
		accountRequests.Inc(a.Name)
	}
	switch {
	case s.route.Public:
		return nil
	case !ok:
		return s.refusalOfKey(key)
	case !isCurrent:
		keysUnproved.Inc()
		return failure.Refuse(failure.CodeRevocationUnknown, "the gateway can't tell whether the key has been taken away").WithRetryAfter(unprovedRetryDelay)
	}
	return nil
}

// unprovedRetryDelay is the Retry-After of a gateway whose configuration isn't known to
// be current. Another gateway may serve the request at once; this one asks for a proof
// several times a second.
const unprovedRetryDelay = 500 * time.Millisecond

// identifyForwarded is identify for a request that another gateway forwarded. A key is
// checked here unless this gateway's configuration is older than the sender's, whose word
// then counts.
func (s *session) identifyForwarded() error {
	info := s.forwarded
	if s.table.Version < info.Version {
		if info.Account == "" {
			// The sender has removed the key, or has no accounts.
			return nil
		}
		s.takeKey()
		forwardsUnproved.Inc()
		s.account = s.accountNamed(info.Account)
		return nil
	}
	if s.table.Accounts == nil {
		return nil
	}
	// A sender without accounts passes on the key.
	key := s.takeKey()
	digest, hasDigest := account.ParseDigest(info.KeyDigest)
	a, ok := s.table.Accounts.ByDigest(digest)
	if !hasDigest {
		digest = account.DigestOf(key)
		a, ok = s.table.Accounts.ByKey(key)
	}
	switch {
	case ok:
		s.account, s.keyDigest = a, digest
		return nil
	case s.route.Public:
		return nil
	case hasDigest:
		keysUnknown.Inc()
		return failure.Refuse(failure.CodeUnauthorized, "the key of a forwarded request is not in version %d of the configuration", s.table.Version)
	default:
		return s.refusalOfKey(key)
	}
}

// accountNamed returns the account with the given name, without rules of its own if the
// configuration of this gateway doesn't have it yet.
func (s *session) accountNamed(name string) *account.Account {
	if a, ok := s.table.Accounts.ByName(name); ok {
		return a
	}
	return &account.Account{Name: name}
}

// takeKey returns the key of the request and removes it, together with the account's name
// that the caller may have sent.
func (s *session) takeKey() string {
	key := s.req.Key
	s.req.Key = ""
	s.edge.Codec.RemoveAccount(s.header)
	return key
}

// digestPrefixLen is the number of hex digits of an unknown key's digest in a log line:
// enough to tell keys apart, and too few to find a key by.
const digestPrefixLen = 8

// refusalOfKey returns the refusal of a request with no key or an unknown one.
func (s *session) refusalOfKey(key string) error {
	if key == "" {
		keysMissing.Inc()
		return failure.Refuse(failure.CodeUnauthorized, "the request has no key")
	}
	keysUnknown.Inc()
	prefix := account.DigestOf(key[:min(len(key), account.MaxKeyBytes)]).String()[:digestPrefixLen]
	return failure.Refuse(failure.CodeUnauthorized, "the key with digest %s is not in version %d of the configuration", prefix, s.table.Version)
}

// accountName returns the name of the request's account for endpoints, other gateways and
// logs; empty if there is none.
func (s *session) accountName() string {
	if s.account == nil || s.unproved {
		return ""
	}
	return s.account.Name
}

// countAccountRefusal counts a request of an account that gets an error, at the gateway
// that the caller connected to.
func (s *session) countAccountRefusal() {
	if s.forwarded == nil {
		accountRefusals.Inc(s.account.Name)
	}
}

// priority returns the priority of the request: that of its account if it has one,
// otherwise that of the route.
func (s *session) priority() int { return s.account.PriorityOr(s.route.Priority) }

// permits reports whether the region may process the request: both the route and the
// account have to permit it.
func (s *session) permits(region string) bool {
	return s.route.Permits(region) && s.account.Permits(region)
}
