package conf

import (
	"crypto/sha256"
	"crypto/subtle"
	"encoding/hex"
	"strings"
)

// RankIndex returns the position of a rank: 0 for the most urgent one, -1 for an unknown one.
func (d *Document) RankIndex(name string) int {
	for i := range d.Ranks {
		if d.Ranks[i].Name == name {
			return i
		}
	}
	return -1
}

// Model returns the model of the given name, or nil.
func (d *Document) Model(name string) *Model {
	for i := range d.Models {
		if d.Models[i].Name == name {
			return &d.Models[i]
		}
	}
	return nil
}

// Workspace returns the workspace of the given name, or nil.
func (d *Document) Workspace(name string) *Workspace {
	for i := range d.Workspaces {
		if d.Workspaces[i].Name == name {
			return &d.Workspaces[i]
		}
	}
	return nil
}

// Service returns the plain service of the given name, or nil.
func (d *Document) Service(name string) *Service {
	for i := range d.Services {
		if d.Services[i].Name == name {
			return &d.Services[i]
		}
	}
	return nil
}

// Authenticate returns the workspace and the key that a secret belongs to, or
// nil. It compares with every key in constant time, so that its duration does
// not reveal how similar a wrong secret is to a stored key.
func (d *Document) Authenticate(secret string) (*Workspace, *Key) {
	sum := sha256.Sum256([]byte(secret))
	digest := []byte(hex.EncodeToString(sum[:]))
	var workspace *Workspace
	var key *Key
	for i := range d.Workspaces {
		for j := range d.Workspaces[i].Keys {
			candidate := &d.Workspaces[i].Keys[j]
			if subtle.ConstantTimeCompare(digest, []byte(candidate.SHA256)) == 1 {
				workspace, key = &d.Workspaces[i], candidate
			}
		}
	}
	return workspace, key
}

// Idempotent reports whether a call of the service can be repeated. A call that
// matches no rule cannot be repeated.
func (s *Service) Idempotent(method, path string) bool {
	for _, rule := range s.Rules {
		if rule.Method == method && strings.HasPrefix(path, rule.PathPrefix) {
			return rule.Idempotent
		}
	}
	return false
}

// AllowsRank reports whether the workspace may use the rank.
func (w *Workspace) AllowsRank(rank string) bool {
	for _, allowed := range w.Ranks {
		if allowed == rank {
			return true
		}
	}
	return false
}

// AllowsModel reports whether the workspace may use the model.
func (w *Workspace) AllowsModel(model string) bool {
	if len(w.Models) == 0 {
		return true
	}
	for _, allowed := range w.Models {
		if allowed == model {
			return true
		}
	}
	return false
}
