package account

import (
	"crypto/subtle"
	"encoding/binary"
	"fmt"

	"github.com/cockroachdb/errors"
)

// Index finds accounts by key and by name. It is immutable. A nil Index has no
// accounts.
type Index struct {
	// byKey maps the first eight bytes of a digest to all entries that share them.
	byKey  map[uint64][]keyEntry
	byName map[string]*Account
}

type keyEntry struct {
	digest  Digest
	account *Account
}

// DuplicateError reports two accounts with the same name, or with the same key.
type DuplicateError struct {
	// First and Second are the names of the accounts. They are equal if the accounts
	// have the same name.
	First, Second string
}

// Error implements error. It doesn't contain the key or its digest.
func (e *DuplicateError) Error() string {
	if e.First == e.Second {
		return fmt.Sprintf("two accounts have the name %q", e.First)
	}
	return fmt.Sprintf("accounts %q and %q have the same key", e.First, e.Second)
}

// NewIndex returns an index of the accounts. The error is a *DuplicateError if two of
// them share a name or a key.
func NewIndex(accounts []*Account) (*Index, error) {
	x := &Index{byKey: make(map[uint64][]keyEntry), byName: make(map[string]*Account, len(accounts))}
	for _, a := range accounts {
		if _, ok := x.byName[a.Name]; ok {
			return nil, errors.WithStack(&DuplicateError{First: a.Name, Second: a.Name})
		}
		x.byName[a.Name] = a
		for _, digest := range a.Keys {
			owner, ok := x.ByDigest(digest)
			if ok && owner != a {
				return nil, errors.WithStack(&DuplicateError{First: owner.Name, Second: a.Name})
			}
			if !ok {
				bucket := bucketOf(digest)
				x.byKey[bucket] = append(x.byKey[bucket], keyEntry{digest: digest, account: a})
			}
		}
	}
	return x, nil
}

func bucketOf(d Digest) uint64 { return binary.BigEndian.Uint64(d[:]) }

// Len returns the number of accounts.
func (x *Index) Len() int {
	if x == nil {
		return 0
	}
	return len(x.byName)
}

// CountPermitted returns the number of accounts whose requests the region may process.
func (x *Index) CountPermitted(region string) int {
	if x == nil {
		return 0
	}
	n := 0
	for _, a := range x.byName {
		if a.Permits(region) {
			n++
		}
	}
	return n
}

// ByKey returns the account that a key belongs to. ok is false for an unknown key.
func (x *Index) ByKey(key string) (a *Account, ok bool) {
	if x == nil || key == "" || len(key) > MaxKeyBytes {
		return nil, false
	}
	return x.ByDigest(DigestOf(key))
}

// ByDigest returns the account that the key with the digest belongs to. Digests are
// compared in constant time. ok is false for an unknown one.
func (x *Index) ByDigest(d Digest) (a *Account, ok bool) {
	if x == nil {
		return nil, false
	}
	for _, e := range x.byKey[bucketOf(d)] {
		if subtle.ConstantTimeCompare(e.digest[:], d[:]) == 1 {
			return e.account, true
		}
	}
	return nil, false
}

// ByName returns the account with the given name. ok is false if there is none.
func (x *Index) ByName(name string) (a *Account, ok bool) {
	if x == nil {
		return nil, false
	}
	a, ok = x.byName[name]
	return a, ok
}
