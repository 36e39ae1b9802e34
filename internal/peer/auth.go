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

// AuthError says why a peer's request was not accepted.
type AuthError struct{ Reason string }

// Error implements error.
func (e *AuthError) Error() string { return "peer not authenticated: " + e.Reason }

// Signer signs requests to peers and checks those of peers. The first secret
// signs; each is accepted.
type Signer struct {
	id      string
	secrets [][]byte
}

// NewSigner returns a signer for the instance id.
func NewSigner(id string, secrets []string) *Signer {
	s := &Signer{id: id}
	for _, x := range secrets {
		s.secrets = append(s.secrets, []byte(x))
	}
	return s
}

// Sign adds the sender, a nonce and the signature of req and body.
func (s *Signer) Sign(req *http.Request, body []byte) {
	nonce := make([]byte, nonceBytes)
	_, _ = rand.Read(nonce)
	req.Header.Set(HeaderSender, s.id)
	req.Header.Set(HeaderNonce, hex.EncodeToString(nonce))
	req.Header.Set(HeaderTarget, req.URL.Host)
	sum := signature(s.secrets[0], req, body)
	req.Header.Set(HeaderSignature, hex.EncodeToString(sum))
}

// Verify checks the signature of req over body and returns the sender.
func (s *Signer) Verify(req *http.Request, body []byte) (string, error) {
	got, err := hex.DecodeString(req.Header.Get(HeaderSignature))
	if err != nil || len(got) != sha256.Size {
		return "", &AuthError{Reason: "no signature"}
	}
	sender := req.Header.Get(HeaderSender)
	if sender == "" {
		return "", &AuthError{Reason: "no sender"}
	}
	ok := false
	for _, secret := range s.secrets {
		if hmac.Equal(got, signature(secret, req, body)) {
			ok = true
		}
	}
	if !ok {
		return "", &AuthError{Reason: "wrong signature"}
	}
	return sender, nil
}

func signature(secret []byte, req *http.Request, body []byte) []byte {
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
