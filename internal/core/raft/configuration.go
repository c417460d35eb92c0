package raft

import (
	"slices"

	"github.com/vmihailenco/msgpack/v5"
)

// Member is a node of a configuration.
type Member struct {
	ID      ID     `json:"id"`
	Address string `json:"address"`
}

// Configuration lists the nodes that replicate the log. Only voters count towards a majority.
type Configuration struct {
	Voters   []Member `json:"voters"`
	Learners []Member `json:"learners"`
}

// ChangeKind is the kind of a membership change.
type ChangeKind uint8

// Kinds of membership changes. Each adds or removes at most one voter, so that
// any majority of a configuration shares a node with any majority of the next one.
const (
	AddLearner ChangeKind = iota + 1
	PromoteLearner
	RemoveMember
)

func (k ChangeKind) String() string {
	switch k {
	case AddLearner:
		return "add learner"
	case PromoteLearner:
		return "promote learner"
	case RemoveMember:
		return "remove member"
	default:
		return "unknown change"
	}
}

// Change is one membership change.
type Change struct {
	Kind   ChangeKind
	Member Member
}

// EncodeConfiguration returns the data of an EntryConfig.
func EncodeConfiguration(c Configuration) []byte {
	data, err := msgpack.Marshal(&c)
	if err != nil {
		panicInvariant("encode configuration: %v", err)
	}
	return data
}

// DecodeConfiguration reads the data of an EntryConfig.
func DecodeConfiguration(data []byte) (Configuration, error) {
	var c Configuration
	err := msgpack.Unmarshal(data, &c)
	return c, err
}

// IsVoter reports whether the node counts towards a majority.
func (c *Configuration) IsVoter(id ID) bool { return memberIndex(c.Voters, id) >= 0 }

// IsLearner reports whether the node replicates the log without a vote.
func (c *Configuration) IsLearner(id ID) bool { return memberIndex(c.Learners, id) >= 0 }

// Members returns the voters followed by the learners.
func (c *Configuration) Members() []Member { return slices.Concat(c.Voters, c.Learners) }

// Quorum returns the size of a majority of the voters.
func (c *Configuration) Quorum() int { return len(c.Voters)/2 + 1 }

// Find returns the member with the given ID.
func (c *Configuration) Find(id ID) (Member, bool) {
	for _, m := range c.Members() {
		if m.ID == id {
			return m, true
		}
	}
	return Member{}, false
}

func memberIndex(members []Member, id ID) int {
	return slices.IndexFunc(members, func(m Member) bool { return m.ID == id })
}

// apply returns the configuration that results from the change.
func (c *Configuration) apply(change Change) (Configuration, error) {
	next := Configuration{Voters: slices.Clone(c.Voters), Learners: slices.Clone(c.Learners)}
	id := change.Member.ID
	switch change.Kind {
	case AddLearner:
		if id == 0 || c.IsVoter(id) || c.IsLearner(id) {
			return next, &ChangeError{Change: change, Reason: "the node has no ID or is already a member"}
		}
		next.Learners = append(next.Learners, change.Member)
	case PromoteLearner:
		at := memberIndex(next.Learners, id)
		if at < 0 {
			return next, &ChangeError{Change: change, Reason: "the node is not a learner"}
		}
		next.Voters = append(next.Voters, next.Learners[at])
		next.Learners = slices.Delete(next.Learners, at, at+1)
	case RemoveMember:
		return c.remove(change)
	default:
		return next, &ChangeError{Change: change, Reason: "the kind of change is unknown"}
	}
	return next, nil
}

func (c *Configuration) remove(change Change) (Configuration, error) {
	isTarget := func(m Member) bool { return m.ID == change.Member.ID }
	next := Configuration{
		Voters:   slices.DeleteFunc(slices.Clone(c.Voters), isTarget),
		Learners: slices.DeleteFunc(slices.Clone(c.Learners), isTarget),
	}
	if len(next.Voters)+len(next.Learners) == len(c.Voters)+len(c.Learners) {
		return next, &ChangeError{Change: change, Reason: "the node is not a member"}
	}
	if len(next.Voters) == 0 {
		return next, &ChangeError{Change: change, Reason: "the last voter cannot be removed"}
	}
	return next, nil
}

// indexedConfig is a configuration and the index of the log entry from which it applies.
type indexedConfig struct {
	index  uint64
	config Configuration
}
