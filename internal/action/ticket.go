package action

import (
	"crypto/hmac"
	"crypto/rand"
	"crypto/sha256"
	"encoding/base64"
	"encoding/json"
	"fmt"
	"strconv"
	"strings"
	"time"

	"github.com/hickorystage/hickorystage/internal/failure"
)

// ticketPrefix is the prefix of every ticket. A key with this prefix is never
// taken as a caller key.
const ticketPrefix = "t1."

// ticketParts is the number of dot-separated parts of a ticket: the prefix,
// the payload, the signature and the number.
const ticketParts = 4

// signingKeyBytes is the length of an incarnation's signing key.
const signingKeyBytes = 32

var ticketEncoding = base64.RawURLEncoding

// ticketPayload is the signed content of a range token. Times are in
// milliseconds since the owner's start, by its monotonic clock.
type ticketPayload struct {
	Owner    string `json:"o"`
	Customer string `json:"c"`
	First    uint64 `json:"f"`
	Last     uint64 `json:"l"`
	Issued   int64  `json:"i"`
	Expires  int64  `json:"e"`
}

// ticket is a parsed ticket. Parsing doesn't verify the signature, since that
// takes the owner's signing key.
type ticket struct {
	ticketPayload
	number  uint64
	payload string
	mac     []byte
}

// expires returns when the ticket expires, on the owner's monotonic clock.
func (t *ticket) expires() time.Duration {
	return time.Duration(t.Expires) * time.Millisecond
}

// signer creates and verifies the signatures of one incarnation's tickets.
type signer struct{ key []byte }

// newSigner returns a signer with a new random key.
func newSigner() signer {
	key := make([]byte, signingKeyBytes)
	// crypto/rand.Read never fails on supported platforms.
	_, _ = rand.Read(key)
	return signer{key: key}
}

func (s signer) mac(payload string) []byte {
	h := hmac.New(sha256.New, s.key)
	h.Write([]byte(payload))
	return h.Sum(nil)
}

// token encodes and signs p.
func (s signer) token(p ticketPayload) (string, error) {
	raw, err := json.Marshal(p)
	if err != nil {
		return "", err
	}
	payload := ticketEncoding.EncodeToString(raw)
	mac := ticketEncoding.EncodeToString(s.mac(payload))
	return ticketPrefix + payload + "." + mac, nil
}

// verify reports whether t was signed by s.
func (s signer) verify(t *ticket) bool {
	return hmac.Equal(t.mac, s.mac(t.payload))
}

// IsTicket reports whether key has the form of a ticket.
func IsTicket(key string) bool { return strings.HasPrefix(key, ticketPrefix) }

// TicketKey returns the idempotency key of ticket n of the range token.
func TicketKey(token string, n uint64) string {
	return token + "." + strconv.FormatUint(n, 10)
}

// Key returns the idempotency key of ticket n of the range.
func (r TicketRange) Key(n uint64) string { return TicketKey(r.Token, n) }

// parseTicket parses key and checks everything that can be checked without the
// owner's signing key. A ticket that fails here would fail at its owner, too.
func parseTicket(customer, key string) (*ticket, error) {
	parts := strings.Split(key, ".")
	if len(parts) != ticketParts {
		return nil, badTicket("it has %d parts instead of %d", len(parts), ticketParts)
	}
	t := &ticket{payload: parts[1]}
	raw, err := ticketEncoding.DecodeString(parts[1])
	if err != nil {
		return nil, badTicket("its payload is not base64url")
	}
	if err := json.Unmarshal(raw, &t.ticketPayload); err != nil {
		return nil, badTicket("its payload is not a ticket range")
	}
	if t.mac, err = ticketEncoding.DecodeString(parts[2]); err != nil {
		return nil, badTicket("its signature is not base64url")
	}
	if t.number, err = strconv.ParseUint(parts[3], 10, 64); err != nil {
		return nil, badTicket("its number is not a number")
	}
	if strconv.FormatUint(t.number, 10) != parts[3] {
		return nil, badTicket("its number is not in canonical form")
	}
	if t.number < t.First || t.number > t.Last {
		return nil, badTicket("its number is outside of its range")
	}
	if t.Customer != customer {
		return nil, badTicket("it was issued to another customer")
	}
	return t, nil
}

// badTicket returns the refusal of a ticket that no gateway will ever run.
func badTicket(format string, args ...any) *failure.Refusal {
	return failure.Refuse(failure.CodeBadTicket, "the ticket is not valid: %s", fmt.Sprintf(format, args...))
}
