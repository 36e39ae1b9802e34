package intent

import (
	"strings"

	"github.com/hickorystage/hickorystage/internal/account"
)

// index holds lookup tables for the request path, built once after a parse.
type index struct {
	// accounts finds the account of a customer by key. customers holds the customers by
	// name.
	accounts  *account.Index
	customers map[string]*Customer
	// permittedRegions maps customers to the regions in which their data may be
	// processed.
	permittedRegions map[string]map[string]bool
	// regionSets maps lists of regions, joined to one string, to the sets that
	// customers with equal lists share.
	regionSets map[string]map[string]bool
	links      map[regionPair]Link
}

type regionPair struct{ a, b string }

func newIndex(in *Intent) *index {
	x := &index{
		customers:        make(map[string]*Customer, len(in.Customers)),
		permittedRegions: make(map[string]map[string]bool, len(in.Customers)),
		regionSets:       make(map[string]map[string]bool),
		links:            make(map[regionPair]Link),
	}
	accounts := make([]*account.Account, 0, len(in.Customers))
	for name, c := range in.Customers {
		x.customers[name] = &c
		x.permittedRegions[name] = x.regionSet(c.Residency)
		accounts = append(accounts, c.account(name))
	}
	// Validation has rejected keys of more than one customer.
	x.accounts, _ = account.NewIndex(accounts)
	for a := range in.Regions {
		for b := range in.Regions {
			if a < b {
				x.links[regionPair{a, b}] = in.linkOf(a, b)
			}
		}
	}
	return x
}

// account returns the customer's account.
func (c *Customer) account(name string) *account.Account {
	a := &account.Account{Name: name, Priority: &c.Priority, HomeRegions: c.Residency}
	for _, keyHash := range c.KeyHashes {
		if digest, ok := account.ParseDigest(keyHash); ok {
			a.Keys = append(a.Keys, digest)
		}
	}
	return a
}

// regionSet returns the regions as a set. Equal lists share one set, which saves
// memory in a large configuration.
func (x *index) regionSet(regions []string) map[string]bool {
	key := strings.Join(regions, " ")
	if set, ok := x.regionSets[key]; ok {
		return set
	}
	set := make(map[string]bool, len(regions))
	for _, r := range regions {
		set[r] = true
	}
	x.regionSets[key] = set
	return set
}

// linkOf returns the declared link between two regions, or the default link.
func (in *Intent) linkOf(a, b string) Link {
	if l, ok := in.Links[LinkName(a, b)]; ok {
		return l
	}
	return in.Links[DefaultLinkName]
}

// DefaultLinkName is the key in Intent.Links of the link that applies to all
// pairs of regions without a link of their own.
const DefaultLinkName = "*"

// LinkName returns the key in Intent.Links of the link between two regions, in
// either order.
func LinkName(a, b string) string {
	if b < a {
		a, b = b, a
	}
	return a + "-" + b
}

// CustomerByAPIKey returns the customer that the API key belongs to. Hashes are
// compared in constant time. ok is false for an unknown key.
func (in *Intent) CustomerByAPIKey(key string) (name string, c *Customer, ok bool) {
	if in.index == nil {
		return "", nil, false
	}
	a, ok := in.index.accounts.ByKey(key)
	if !ok {
		return "", nil, false
	}
	return a.Name, in.index.customers[a.Name], true
}

// PermittedRegions returns the regions in which the customer's data may be
// processed. The result is nil for an unknown customer; callers must not modify it.
func (in *Intent) PermittedRegions(customer string) map[string]bool {
	if in.index == nil {
		return nil
	}
	return in.index.permittedRegions[customer]
}

// LinkBetween returns the link between two regions, in either order. It is zero
// if both are the same region or one is not declared.
func (in *Intent) LinkBetween(a, b string) Link {
	if in.index == nil {
		return Link{}
	}
	if b < a {
		a, b = b, a
	}
	return in.index.links[regionPair{a, b}]
}

// HashAPIKey returns the hex SHA-256 hash of an API key, the form used in key_hashes.
func HashAPIKey(key string) string { return account.DigestOf(key).String() }
