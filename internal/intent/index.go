package intent

import (
	"crypto/sha256"
	"crypto/subtle"
	"encoding/binary"
	"encoding/hex"
	"strings"
)

// MaxAPIKeyBytes is the longest API key that is looked up, in bytes.
const MaxAPIKeyBytes = 512

// index holds what the request path looks up, worked out once after a parse.
type index struct {
	// apiKeys maps the first eight bytes of a key's hash to its candidates.
	apiKeys map[uint64][]apiKeyEntry
	// permittedRegions maps customers to the regions that their data may be in.
	permittedRegions map[string]map[string]bool
	// regionSets maps joined lists of regions to the sets that customers share.
	regionSets  map[string]map[string]bool
	links map[regionPair]Link
}

type apiKeyEntry struct {
	hash     [sha256.Size]byte
	name     string
	customer *Customer
}

type regionPair struct{ a, b string }

func newIndex(in *Intent) *index {
	x := &index{
		apiKeys:      make(map[uint64][]apiKeyEntry),
		permittedRegions: make(map[string]map[string]bool, len(in.Customers)),
		regionSets:      make(map[string]map[string]bool),
		links:     make(map[regionPair]Link),
	}
	for name, c := range in.Customers {
		x.addCustomer(name, &c)
	}
	for a := range in.Regions {
		for b := range in.Regions {
			if a < b {
				x.links[regionPair{a, b}] = in.linkOf(a, b)
			}
		}
	}
	return x
}

func (x *index) addCustomer(name string, c *Customer) {
	for _, text := range c.KeyHashes {
		e := apiKeyEntry{name: name, customer: c}
		if _, err := hex.Decode(e.hash[:], []byte(text)); err != nil {
			continue
		}
		bucket := binary.BigEndian.Uint64(e.hash[:])
		x.apiKeys[bucket] = append(x.apiKeys[bucket], e)
	}
	x.permittedRegions[name] = x.regionSet(c.Residency)
}

// regionSet returns the set of the regions; equal lists share one set.
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

// linkOf returns the declared link of two regions, given in order.
func (in *Intent) linkOf(a, b string) Link {
	if l, ok := in.Links[LinkName(a, b)]; ok {
		return l
	}
	return in.Links[DefaultLinkName]
}

// DefaultLinkName is the key in Intent.Links of the link that holds for each pair
// of regions without one of its own.
const DefaultLinkName = "*"

// LinkName returns the key in Intent.Links of two regions.
func LinkName(a, b string) string {
	if b < a {
		a, b = b, a
	}
	return a + "-" + b
}

// CustomerByAPIKey returns the customer that the API key belongs to. The hashes
// are compared in constant time.
func (in *Intent) CustomerByAPIKey(key string) (name string, c *Customer, ok bool) {
	if in.index == nil || key == "" || len(key) > MaxAPIKeyBytes {
		return "", nil, false
	}
	hash := sha256.Sum256([]byte(key))
	bucket := in.index.apiKeys[binary.BigEndian.Uint64(hash[:])]
	for i := range bucket {
		e := &bucket[i]
		if subtle.ConstantTimeCompare(e.hash[:], hash[:]) == 1 {
			return e.name, e.customer, true
		}
	}
	return "", nil, false
}

// PermittedRegions returns the regions in which the customer's data may be
// processed. It is nil for an unknown customer and must not be changed.
func (in *Intent) PermittedRegions(customer string) map[string]bool {
	if in.index == nil {
		return nil
	}
	return in.index.permittedRegions[customer]
}

// LinkBetween returns the link of two regions, in either order. It is zero
// within a region and for regions that the intent does not name.
func (in *Intent) LinkBetween(a, b string) Link {
	if in.index == nil {
		return Link{}
	}
	if b < a {
		a, b = b, a
	}
	return in.index.links[regionPair{a, b}]
}

// HashAPIKey returns the hex SHA-256 hash of an API key, as key_hashes holds it.
func HashAPIKey(key string) string {
	hash := sha256.Sum256([]byte(key))
	return hex.EncodeToString(hash[:])
}
