package publish

import (
	"crypto/rand"
	"encoding/hex"
	"encoding/json"
	"regexp"
	"strings"

	"github.com/hickorystage/hickorystage/internal/intent/revision"
)

// Sizes of the parts of a change id.
const (
	changeIDRandomBytes  = 8
	changeIDDigestChars = 12
)

// changeIDPattern matches the ids that NewChangeID makes.
var changeIDPattern = regexp.MustCompile(`^[0-9a-f]{16}-[0-9a-f]{12}$`)

// NewChangeID returns a fresh id for the change. Its second part is bound to
// the files, the base and the replace flag, so that an id can't settle another
// change than the one it was made for.
func NewChangeID(ch Change) string {
	random := make([]byte, changeIDRandomBytes)
	rand.Read(random)
	return hex.EncodeToString(random) + "-" + ch.contentDigest()
}

// IsChangeID tells whether id has the form of a change id.
func IsChangeID(id string) bool { return changeIDPattern.MatchString(id) }

// contentDigest returns a digest of what the change asks for.
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
		// The struct holds only strings and booleans.
		panic(err)
	}
	return revision.Digest(b)[:changeIDDigestChars]
}

// hasMatchingID tells whether the change's id was made for this change.
func (ch Change) hasMatchingID() bool {
	return IsChangeID(ch.ID) && strings.HasSuffix(ch.ID, "-"+ch.contentDigest())
}
