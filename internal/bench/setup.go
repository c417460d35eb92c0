package bench

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"slices"
	"time"

	"github.com/boragelead/boragelead/internal/core/conf"
	"github.com/boragelead/boragelead/internal/rig"
	"github.com/boragelead/boragelead/standin/engine"
	"github.com/boragelead/boragelead/standin/service"
)

const (
	// TimeScale multiplies the durations of the engines and the latency targets
	// of the ranks, so that a run of seconds holds several answers per slot.
	TimeScale = 0.5
	// daemonsPerDomain and plainServices are the sizes of today's deployments.
	daemonsPerDomain = 2
	plainServices    = 4
	// poisonMarker in a prompt crashes the engine that runs it.
	poisonMarker = "POISON"
	// maxEngines is the fleet of the larger deployment; smallEngines that of the
	// calendar, which has no third engine in its last two failure domains.
	maxEngines   = 12
	smallEngines = 10
	// onDemandDomains is the number of failure domains whose fastest VM cannot be reclaimed.
	onDemandDomains = 2
	settleTimeout   = 15 * time.Second
	// serviceTimeoutMS bounds a call of a service. A scripted hang lasts as
	// long, so the 10 s of the examples would outlast a run.
	serviceTimeoutMS = 1500
)

// exampleKeys are the secrets of the example documents, which hold their hashes.
var exampleKeys = []string{
	"dev-north", "dev-north-jury", "dev-south", "dev-tutors", "dev-recruiters", "dev-archive",
	"dev-district", "dev-trusts", "dev-schools", "dev-citizens", "dev-editors",
}

// scaleDocument multiplies the latency targets and waits of the ranks by
// TimeScale and shortens the timeout of the services.
func scaleDocument(data []byte) ([]byte, *conf.Document, error) {
	doc, err := conf.Parse(data)
	if err != nil {
		return nil, nil, err
	}
	if len(doc.Ranks) < 3 || len(doc.Fleet.Domains) < 3 || len(doc.Models) == 0 {
		return nil, nil, &DocumentError{Reason: "it needs three ranks, three failure domains and a model"}
	}
	for i := range doc.Ranks {
		r := &doc.Ranks[i]
		r.FirstTokenMS = int(float64(r.FirstTokenMS) * TimeScale)
		r.PerTokenMS = int(float64(r.PerTokenMS) * TimeScale)
		r.MaxWaitMS = int(float64(r.MaxWaitMS) * TimeScale)
	}
	for i := range doc.Services {
		doc.Services[i].TimeoutMS = serviceTimeoutMS
	}
	scaled, err := json.Marshal(doc)
	return scaled, doc, err
}

// callers are the keys of a document by their default rank. other may use the
// urgent rank and belongs to another workspace than urgent; it can be empty.
type callers struct{ urgent, middle, low, other string }

// findCallers picks one key per rank among those of the example documents.
func findCallers(doc *conf.Document) (callers, error) {
	found := make([]string, len(doc.Ranks))
	for _, w := range doc.Workspaces {
		for _, k := range w.Keys {
			name := k.DefaultRank
			if name == "" {
				name = w.DefaultRank
			}
			rank := slices.IndexFunc(doc.Ranks, func(r conf.Rank) bool { return r.Name == name })
			if secret := secretOf(k.SHA256); rank >= 0 && secret != "" && found[rank] == "" {
				found[rank] = secret
			}
		}
	}
	if slices.Contains(found[:3], "") {
		return callers{}, &DocumentError{Reason: "a rank has no caller whose key is one of the examples'"}
	}
	return callers{urgent: found[0], middle: found[1], low: found[2], other: otherUrgent(doc, found[0])}, nil
}

// otherUrgent returns a key of another workspace that may use the most urgent rank.
func otherUrgent(doc *conf.Document, urgent string) string {
	for _, w := range doc.Workspaces {
		own := slices.ContainsFunc(w.Keys, func(k conf.Key) bool { return secretOf(k.SHA256) == urgent })
		if own || !slices.Contains(w.Ranks, doc.Ranks[0].Name) {
			continue
		}
		if secret := secretOf(w.Keys[0].SHA256); secret != "" {
			return secret
		}
	}
	return ""
}

func secretOf(hash string) string {
	for _, secret := range exampleKeys {
		sum := sha256.Sum256([]byte(secret))
		if hex.EncodeToString(sum[:]) == hash {
			return secret
		}
	}
	return ""
}

// machine is one engine's VM with its price per hour.
type machine struct {
	config engine.Config
	price  float64
}

// machines lists the VMs: one of each class in each failure domain. straggle
// slows the second VM of each of the first two domains by that factor.
func machines(doc *conf.Document, straggle float64) []machine {
	total := maxEngines
	if doc.Workspaces[0].Name == "district-offices" {
		total = smallEngines
	}
	var list []machine
	for at := range doc.Fleet.Classes {
		for i, domain := range doc.Fleet.Domains {
			if len(list) == total {
				return list
			}
			slow := 1.0
			if at == 1 && i < 2 {
				slow = max(straggle, 1)
			}
			list = append(list, newMachine(doc.Fleet.Classes[at], domain, at == 0 && i < onDemandDomains, slow))
		}
	}
	return list
}

func newMachine(class conf.MachineClass, domain conf.DomainFleet, onDemand bool, slow float64) machine {
	m := machine{config: engine.Config{
		ID: domain.FailureDomain + "-" + class.Name, FailureDomain: domain.FailureDomain, Class: class.Name,
		VM: domain.FailureDomain + "-" + class.Name, Reclaimable: !onDemand, Slots: class.Slots,
		Speed:     engine.ClassSpeed(class.PrefillTokensPerS/slow, class.DecodeTokensPerS/slow, class.Slots),
		TimeScale: TimeScale, FrameTokens: 1, PoisonMarker: poisonMarker,
	}}
	for _, price := range domain.Classes {
		if price.Class != class.Name {
			continue
		}
		m.price = price.Reclaimable
		if onDemand {
			m.price = price.OnDemand
		}
	}
	return m
}

// capacity returns the nominal decode rate of the fleet in tokens per real second.
func capacity(doc *conf.Document) float64 {
	total := 0.0
	for _, m := range machines(doc, 1) {
		for _, class := range doc.Fleet.Classes {
			if class.Name == m.config.Class {
				total += class.DecodeTokensPerS / TimeScale
			}
		}
	}
	return total
}

// addEndpoints starts the engines and the plain services of a run.
func addEndpoints(r *rig.Rig, list []machine) error {
	for _, m := range list {
		if _, err := r.AddEngine(m.config); err != nil {
			return err
		}
	}
	domains := r.Domains()
	for i := range plainServices {
		config := service.Config{
			ID: fmt.Sprintf("service-%d", i+1), FailureDomain: domains[i%len(domains)],
			Service: r.Document().Services[0].Name, Latency: 5 * time.Millisecond,
		}
		if _, err := r.AddService(config); err != nil {
			return err
		}
	}
	return r.Await(settleTimeout)
}
