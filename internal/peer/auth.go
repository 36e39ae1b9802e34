package peer

import (
	"crypto/hmac"
	"crypto/rand"
	"crypto/sha256"
	"encoding/hex"
	"io"
	"net/http"
)

// Headers of a signed request.
const (
	HeaderSender    = "X-Hickorystage-Sender"
	HeaderTarget    = "X-Hickorystage-Target"
	HeaderNonce     = "X-Hickorystage-Nonce"
	HeaderForward   = "X-Hickorystage-Forward"
	HeaderSignature = "X-Hickorystage-Signature"
)

const nonceBytes = 12

// AuthError reports why a request could not be authenticated as a peer's.
type AuthError struct{ Reason string }

// Error implements error.
func (e *AuthError) Error() string { return "authenticate peer request: " + e.Reason }

// Signer signs requests to peers and verifies requests from peers. It signs with
// the first secret and accepts any of them, so that secrets can be rotated. It
// is safe for concurrent use.
type Signer struct {
	id      string
	secrets [][]byte
}

// NewSigner returns a signer for the gateway id. Sign needs at least one secret.
func NewSigner(id string, secrets []string) *Signer {
	s := &Signer{id: id}
	for _, secret := range secrets {
		s.secrets = append(s.secrets, []byte(secret))
	}
	return s
}

// Sign adds headers with the sender, the target, a nonce and the signature over
// req and body. HeaderForward is part of the signature and has to be set before.
func (s *Signer) Sign(req *http.Request, body []byte) {
	nonce := make([]byte, nonceBytes)
	_, _ = rand.Read(nonce)
	req.Header.Set(HeaderSender, s.id)
	req.Header.Set(HeaderNonce, hex.EncodeToString(nonce))
	req.Header.Set(HeaderTarget, req.URL.Host)
	sum := computeSignature(s.secrets[0], req, body)
	req.Header.Set(HeaderSignature, hex.EncodeToString(sum))
}

// Verify checks the signature over req and body and returns the sender's id. The
// error is an *AuthError. It does not check the target or the nonce.
func (s *Signer) Verify(req *http.Request, body []byte) (string, error) {
	got, err := hex.DecodeString(req.Header.Get(HeaderSignature))
	if err != nil || len(got) != sha256.Size {
		return "", &AuthError{Reason: "missing or malformed signature"}
	}
	sender := req.Header.Get(HeaderSender)
	if sender == "" {
		return "", &AuthError{Reason: "missing sender"}
	}
	ok := false
	for _, secret := range s.secrets {
		if hmac.Equal(got, computeSignature(secret, req, body)) {
			ok = true
		}
	}
	if !ok {
		return "", &AuthError{Reason: "signature does not match"}
	}
	return sender, nil
}

func computeSignature(secret []byte, req *http.Request, body []byte) []byte {
	mac := hmac.New(sha256.New, secret)
	bodySum := sha256.Sum256(body)
	for _, part := range []string{
		req.Method,
		req.URL.RequestURI(),
		req.Header.Get(HeaderSender),
		req.Header.Get(HeaderTarget),
		req.Header.Get(HeaderNonce),
		req.Header.Get(HeaderForward),
		hex.EncodeToString(bodySum[:]),
	} {
		_, _ = io.WriteString(mac, part)
		_, _ = mac.Write([]byte{'\n'})
	}
	return mac.Sum(nil)
}
