package conf

import (
	"fmt"
	"slices"
	"strings"
	"time"
)

// MinResendWindow is the time after a call during which its caller may resend it.
// Regions are occasionally unable to reach each other for an hour.
const MinResendWindow = time.Hour

// floorTolerance allows for rounding errors in the sum of floors such as 0.1 + 0.2 + 0.7.
const floorTolerance = 1e-9

// checker collects violations of the rules that the schema cannot express. Its
// methods from ranks to fleet each check the part of the document that they are
// named after.
type checker struct {
	doc      *Document
	problems []Problem
}

func (d *Document) problems() []Problem {
	c := &checker{doc: d}
	c.ranks()
	c.models()
	c.workspaces()
	c.services()
	c.bounds()
	c.fleet()
	return c.problems
}

func (c *checker) addProblem(path, format string, args ...any) {
	c.problems = append(c.problems, Problem{Path: path, Message: fmt.Sprintf(format, args...)})
}

// checkUnique adds a problem for each name that occurs more than once. The path
// contains one %d for the index.
func (c *checker) checkUnique(path string, count int, name func(int) string) {
	first := make(map[string]int, count)
	for i := range count {
		if j, duplicate := first[name(i)]; duplicate {
			c.addProblem(fmt.Sprintf(path, i), "%q is also at index %d", name(i), j)
			continue
		}
		first[name(i)] = i
	}
}

func (c *checker) checkUniqueStrings(path string, list []string) {
	c.checkUnique(strings.ReplaceAll(path, "%", "%%")+"[%d]", len(list), func(i int) string { return list[i] })
}

func (c *checker) ranks() {
	ranks := c.doc.Ranks
	c.checkUnique("$.ranks[%d].name", len(ranks), func(i int) string { return ranks[i].Name })
	sum := 0.0
	for i, rank := range ranks {
		sum += rank.Floor
		if i > 0 && rank.FirstTokenMS < ranks[i-1].FirstTokenMS {
			c.addProblem(fmt.Sprintf("$.ranks[%d].first_token_ms", i), "is shorter than that of the more urgent rank %q; list the most urgent rank first", ranks[i-1].Name)
		}
	}
	if sum > 1+floorTolerance {
		c.addProblem("$.ranks", "the floors add up to %.4g, more than 1", sum)
	}
}

func (c *checker) models() {
	models := c.doc.Models
	c.checkUnique("$.models[%d].name", len(models), func(i int) string { return models[i].Name })
	largest, vms := c.capacity()
	for i, model := range models {
		at := fmt.Sprintf("$.models[%d]", i)
		c.checkUniqueStrings(at+".adapters", model.Adapters)
		if model.MaxOutputTokens >= model.MaxContextTokens {
			c.addProblem(at+".max_output_tokens", "must be below max_context_tokens (%d) to leave room for a prompt", model.MaxContextTokens)
		}
		if model.WeightBytes > largest {
			c.addProblem(at+".weight_bytes", "exceeds the memory of every machine class (%d)", largest)
		}
		if model.MinEndpoints > vms {
			c.addProblem(at+".min_endpoints", "exceeds the VMs that all failure domains allow (%d)", vms)
		}
	}
}

// capacity returns the memory of the largest machine class and the number of VMs
// that all failure domains allow together.
func (c *checker) capacity() (memory int64, vms int) {
	for _, class := range c.doc.Fleet.Classes {
		memory = max(memory, class.MemoryBytes)
	}
	for _, domain := range c.doc.Fleet.Domains {
		for _, price := range domain.Classes {
			vms += price.MaxVMs
		}
	}
	return memory, vms
}

func (c *checker) workspaces() {
	list := c.doc.Workspaces
	c.checkUnique("$.workspaces[%d].name", len(list), func(i int) string { return list[i].Name })
	firstPaths := map[string]string{}
	for i := range list {
		at := fmt.Sprintf("$.workspaces[%d]", i)
		c.workspace(at, &list[i])
		c.keys(at, &list[i], firstPaths)
	}
}

func (c *checker) workspace(at string, w *Workspace) {
	c.checkUniqueStrings(at+".ranks", w.Ranks)
	c.checkUniqueStrings(at+".models", w.Models)
	for i, rank := range w.Ranks {
		if c.doc.RankIndex(rank) < 0 {
			c.addProblem(fmt.Sprintf("%s.ranks[%d]", at, i), "rank %q is unknown", rank)
		}
	}
	for i, model := range w.Models {
		if c.doc.Model(model) == nil {
			c.addProblem(fmt.Sprintf("%s.models[%d]", at, i), "model %q is unknown", model)
		}
	}
	c.checkAllowedRank(at+".default_rank", w, w.DefaultRank)
	if w.MaxQueuedPerCaller > w.MaxQueued {
		c.addProblem(at+".max_queued_per_caller", "exceeds max_queued (%d)", w.MaxQueued)
	}
}

func (c *checker) checkAllowedRank(path string, w *Workspace, rank string) {
	if !w.AllowsRank(rank) {
		c.addProblem(path, "rank %q is not among the ranks of the workspace", rank)
	}
}

func (c *checker) keys(at string, w *Workspace, firstPaths map[string]string) {
	for i, key := range w.Keys {
		path := fmt.Sprintf("%s.keys[%d]", at, i)
		if firstPath, duplicate := firstPaths[key.SHA256]; duplicate {
			c.addProblem(path+".sha256", "the same key is at %s", firstPath)
		} else {
			firstPaths[key.SHA256] = path
		}
		if key.DefaultRank != "" {
			c.checkAllowedRank(path+".default_rank", w, key.DefaultRank)
		}
	}
}

func (c *checker) services() {
	list := c.doc.Services
	c.checkUnique("$.services[%d].name", len(list), func(i int) string { return list[i].Name })
	for i, service := range list {
		for j, rule := range service.Rules {
			shadows := func(earlier ServiceRule) bool {
				return earlier.Method == rule.Method && strings.HasPrefix(rule.PathPrefix, earlier.PathPrefix)
			}
			if k := slices.IndexFunc(service.Rules[:j], shadows); k >= 0 {
				c.addProblem(fmt.Sprintf("$.services[%d].rules[%d]", i, j), "never matches, because rule %d takes its calls", k)
			}
		}
	}
}

// bounds checks settings whose limits depend on other settings.
func (c *checker) bounds() {
	if c.doc.Retry.BackoffMaxMS < c.doc.Retry.BackoffBaseMS {
		c.addProblem("$.retry.backoff_max_ms", "is below backoff_base_ms (%d)", c.doc.Retry.BackoffBaseMS)
	}
	for _, rank := range c.doc.Ranks {
		if c.doc.Limits.SilentStreamMS <= rank.PerTokenMS {
			c.addProblem("$.limits.silent_stream_ms", "must be above per_token_ms of rank %q (%d), or healthy streams are broken", rank.Name, rank.PerTokenMS)
		}
	}
	needed := MinResendWindow
	for _, service := range c.doc.Services {
		needed = max(needed, MinResendWindow+time.Duration(service.TimeoutMS)*time.Millisecond)
	}
	if retention := time.Duration(c.doc.Claims.RetentionS) * time.Second; retention < needed {
		c.addProblem("$.claims.retention_s", "is too short for a resend: at least %.0f is needed", needed.Seconds())
	}
}

func (c *checker) fleet() {
	fleet := &c.doc.Fleet
	c.checkUnique("$.fleet.classes[%d].name", len(fleet.Classes), func(i int) string { return fleet.Classes[i].Name })
	c.checkUnique("$.fleet.domains[%d].failure_domain", len(fleet.Domains), func(i int) string { return fleet.Domains[i].FailureDomain })
	for i, domain := range fleet.Domains {
		at := fmt.Sprintf("$.fleet.domains[%d].classes", i)
		c.checkUnique(at+"[%d].class", len(domain.Classes), func(j int) string { return domain.Classes[j].Class })
		for j, price := range domain.Classes {
			known := func(class MachineClass) bool { return class.Name == price.Class }
			if !slices.ContainsFunc(fleet.Classes, known) {
				c.addProblem(fmt.Sprintf("%s[%d].class", at, j), "machine class %q is unknown", price.Class)
			}
		}
	}
}
