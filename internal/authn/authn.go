// Package authn finds the team that the key of a request belongs to.
package authn

import (
	"crypto/sha256"
	"crypto/subtle"
	"encoding/binary"
	"encoding/hex"
	"strings"

	"github.com/dandelionfield/dandelionfield/pkg/schema"
)

type (
	// Digest is the SHA-256 of a key.
	Digest [sha256.Size]byte

	// Table maps keys to teams. It is built once for each revision and never changes, so it
	// is read without a lock.
	//
	// It handles requests of any number of teams at the full rate of a node, and callers
	// that send many unknown keys: a lookup costs one digest and one access to a map,
	// whatever the number of teams and keys.
	Table struct {
		teams []schema.Team
		// byPrefix holds the keys by the first eight bytes of their digests. The rest of a
		// digest is compared in constant time.
		byPrefix map[uint64][]entry
	}

	entry struct {
		digest Digest
		team   int
	}
)

const (
	bearerScheme = "Bearer"
	// shortDigestBytes is how much of a digest may be logged: enough to recognise a key
	// that the reader of the log knows, and too little to identify one by guessing.
	shortDigestBytes = 4
)

// DigestOf returns the digest of a key.
func DigestOf(key string) Digest {
	return sha256.Sum256([]byte(key))
}

// String returns the digest in hexadecimal, as schema.Team holds it.
func (d Digest) String() string {
	return hex.EncodeToString(d[:])
}

// Short returns the start of the digest for the log.
func (d Digest) Short() string {
	return hex.EncodeToString(d[:shortDigestBytes])
}

func (d Digest) prefix() uint64 {
	return binary.BigEndian.Uint64(d[:])
}

// ParseDigest reads a digest in hexadecimal.
func ParseDigest(text string) (Digest, bool) {
	var digest Digest
	if len(text) != hex.EncodedLen(len(digest)) {
		return digest, false
	}
	_, err := hex.Decode(digest[:], []byte(text))
	return digest, err == nil
}

// New returns the table of the teams, in which no key is found if there are none. A digest that
// is not valid matches no key; the parsers of declarations reject such digests.
func New(teams []schema.Team) *Table {
	table := &Table{teams: teams, byPrefix: make(map[uint64][]entry, len(teams))}
	for i, team := range teams {
		for _, text := range team.KeyDigests {
			digest, ok := ParseDigest(text)
			if !ok {
				continue
			}
			prefix := digest.prefix()
			table.byPrefix[prefix] = append(table.byPrefix[prefix], entry{digest, i})
		}
	}
	return table
}

// Find returns the team that has the key with a digest, or nil if none has.
func (t *Table) Find(digest Digest) *schema.Team {
	var found *schema.Team
	for _, candidate := range t.byPrefix[digest.prefix()] {
		if subtle.ConstantTimeCompare(candidate.digest[:], digest[:]) == 1 {
			found = &t.teams[candidate.team]
		}
	}
	return found
}

// BearerKey returns the key in the values of an Authorization header, or "" if they hold
// none. Several values are ambiguous and count as none.
func BearerKey(values []string) string {
	if len(values) != 1 {
		return ""
	}
	scheme, key, _ := strings.Cut(values[0], " ")
	if !strings.EqualFold(scheme, bearerScheme) {
		return ""
	}
	return strings.Trim(key, " ")
}
