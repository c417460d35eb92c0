package conf

import (
	"crypto/sha256"
	"crypto/subtle"
	"encoding/hex"
)

// keyIndex maps the SHA-256 of secrets to keys. The duration of a lookup depends
// on the hash of the presented secret. It reveals nothing about a stored hash,
// because an attacker cannot choose a secret by its SHA-256.
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
				// No secret has such a hash. Parse refuses such keys.
				continue
			}
			index[[sha256.Size]byte(digest)] = keyOwner{workspace: workspace, key: &workspace.Keys[j]}
		}
	}
	return index
}

func (k keyIndex) find(secret string) (*Workspace, *Key) {
	digest := sha256.Sum256([]byte(secret))
	owner, found := k[digest]
	if !found {
		return nil, nil
	}
	stored, err := hex.DecodeString(owner.key.SHA256)
	if err != nil || subtle.ConstantTimeCompare(digest[:], stored) != 1 {
		return nil, nil
	}
	return owner.workspace, owner.key
}
