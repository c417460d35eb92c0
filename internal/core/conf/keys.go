package conf

import (
	"crypto/sha256"
	"crypto/subtle"
	"encoding/hex"
)

// keyIndex finds keys by the SHA-256 of their secret. The lookup takes a time
// that depends on the hash of the guess. That tells nothing about a stored
// hash, because nobody can choose a guess by its SHA-256.
type keyIndex map[[sha256.Size]byte]keyOwner

type keyOwner struct {
	workspace *Workspace
	key       *Key
}

func newKeyIndex(doc *Document) keyIndex {
	index := keyIndex{}
	for i := range doc.Workspaces {
		workspace := &doc.Workspaces[i]
		for j := range workspace.Keys {
			digest, err := hex.DecodeString(workspace.Keys[j].SHA256)
			if err != nil || len(digest) != sha256.Size {
				// Parse refuses such a key, so no secret belongs to it.
				continue
			}
			index[[sha256.Size]byte(digest)] = keyOwner{workspace: workspace, key: &workspace.Keys[j]}
		}
	}
	return index
}

func (x keyIndex) find(secret string) (*Workspace, *Key) {
	digest := sha256.Sum256([]byte(secret))
	owner, found := x[digest]
	if !found {
		return nil, nil
	}
	stored, err := hex.DecodeString(owner.key.SHA256)
	if err != nil || subtle.ConstantTimeCompare(digest[:], stored) != 1 {
		return nil, nil
	}
	return owner.workspace, owner.key
}
