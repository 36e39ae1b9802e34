package publish

import (
	"crypto/rand"
	"encoding/hex"
	"encoding/json"
	"regexp"
	"strings"

	"github.com/hickorystage/hickorystage/internal/intent/revision"
)

// Lengths of the two parts of a change id.
const (
	changeIDRandomBytes = 8
	changeIDDigestChars = 12
)

// changeIDPattern matches the ids that NewChangeID returns.
var changeIDPattern = regexp.MustCompile(`^[0-9a-f]{16}-[0-9a-f]{12}$`)

// NewChangeID returns a new unique id for the change. Its second part is a digest
// of the files, the base and the replace flag, so that the id can't be used to
// resume a different change.
func NewChangeID(ch Change) string {
	random := make([]byte, changeIDRandomBytes)
	rand.Read(random)
	return hex.EncodeToString(random) + "-" + ch.contentDigest()
}

// IsChangeID reports whether id has the form of a change id.
func IsChangeID(id string) bool { return changeIDPattern.MatchString(id) }

// contentDigest returns a shortened digest of the files, the base and the replace
// flag.
func (ch Change) contentDigest() string {
	bound := struct {
		Files, Base []revision.FileRef
		HasBase     bool
		Replace     bool
	}{Files: FileRefs(ch.Files), HasBase: ch.Base != nil, Replace: ch.Replace}
	if ch.Base != nil {
		bound.Base = fileDigestsOf(ch.Base.Files).refs()
	}
	b, err := json.Marshal(bound)
	if err != nil {
		// Unreachable: the struct holds only strings and booleans.
		panic(err)
	}
	return revision.Digest(b)[:changeIDDigestChars]
}

// hasMatchingID reports whether the change's id was made for this change.
func (ch Change) hasMatchingID() bool {
	return IsChangeID(ch.ID) && strings.HasSuffix(ch.ID, "-"+ch.contentDigest())
}
