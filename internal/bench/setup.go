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
	// of the ranks, so that each slot finishes several answers in a run of a few seconds.
	TimeScale = 0.5
	// daemonsPerDomain and plainServices are the sizes of the current deployments.
	daemonsPerDomain = 2
	plainServices    = 4
	// poisonMarker crashes the engine that runs a prompt with this text.
	poisonMarker = "POISON"
	// portfolioEngines is the fleet size of the larger deployment, calendarEngines
	// that of the calendar, which has no third engine in its last two failure domains.
	portfolioEngines = 12
	calendarEngines  = 10
	// onDemandDomains is the number of failure domains whose fastest VM is on-demand
	// and so cannot be reclaimed.
	onDemandDomains = 2
	settleTimeout   = 15 * time.Second
	// serviceTimeoutMS replaces the timeout of service calls in the document. A
	// scripted hang lasts for the timeout, so with the 10 s of the examples it
	// would last longer than a run.
	serviceTimeoutMS = 1500
)

// exampleKeys are the callers' keys of the example documents. The documents hold
// only the hashes of the keys.
var exampleKeys = []string{
	"dev-north", "dev-north-jury", "dev-south", "dev-tutors", "dev-recruiters", "dev-archive",
	"dev-district", "dev-trusts", "dev-schools", "dev-citizens", "dev-editors",
}

// scaleDocument multiplies the latency targets and maximum waits of the ranks by
// TimeScale and sets the timeout of the services to serviceTimeoutMS.
func scaleDocument(data []byte) ([]byte, *conf.Document, error) {
	doc, err := conf.Parse(data)
	if err != nil {
		return nil, nil, err
	}
	if len(doc.Ranks) < 3 || len(doc.Fleet.Domains) < 3 || len(doc.Models) == 0 {
		return nil, nil, &DocumentError{Reason: "it must have at least three ranks, three failure domains and one model"}
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

// callerKeys holds one key of the document per default rank. otherWorkspace is a
// key that may use the urgent rank and belongs to a workspace other than that of
// urgent; it may be empty.
type callerKeys struct{ urgent, middle, low, otherWorkspace string }

// findCallerKeys chooses one of the exampleKeys for each rank of the document.
func findCallerKeys(doc *conf.Document) (callerKeys, error) {
	keyOfRank := make([]string, len(doc.Ranks))
	for _, w := range doc.Workspaces {
		for _, k := range w.Keys {
			name := k.DefaultRank
			if name == "" {
				name = w.DefaultRank
			}
			rank := slices.IndexFunc(doc.Ranks, func(r conf.Rank) bool { return r.Name == name })
			if secret := secretForHash(k.SHA256); rank >= 0 && secret != "" && keyOfRank[rank] == "" {
				keyOfRank[rank] = secret
			}
		}
	}
	if slices.Contains(keyOfRank[:3], "") {
		return callerKeys{}, &DocumentError{Reason: "one of the first three ranks has no key among the example keys"}
	}
	return callerKeys{urgent: keyOfRank[0], middle: keyOfRank[1], low: keyOfRank[2], otherWorkspace: otherWorkspaceKey(doc, keyOfRank[0])}, nil
}

// otherWorkspaceKey returns a key that may use the most urgent rank, from a
// workspace other than that of the urgent key, or "".
func otherWorkspaceKey(doc *conf.Document, urgent string) string {
	for _, w := range doc.Workspaces {
		own := slices.ContainsFunc(w.Keys, func(k conf.Key) bool { return secretForHash(k.SHA256) == urgent })
		if own || !slices.Contains(w.Ranks, doc.Ranks[0].Name) {
			continue
		}
		if secret := secretForHash(w.Keys[0].SHA256); secret != "" {
			return secret
		}
	}
	return ""
}

func secretForHash(hash string) string {
	for _, secret := range exampleKeys {
		sum := sha256.Sum256([]byte(secret))
		if hex.EncodeToString(sum[:]) == hash {
			return secret
		}
	}
	return ""
}

// machine is the VM of one engine with its price per hour.
type machine struct {
	config engine.Config
	price  float64
}

// machines returns the VMs: one of each class in each failure domain, up to the
// number of the deployment. The VM of the second class in each of the first two
// failure domains is slower by the factor slowdown.
func machines(doc *conf.Document, slowdown float64) []machine {
	total := portfolioEngines
	if doc.Workspaces[0].Name == "district-offices" {
		total = calendarEngines
	}
	var result []machine
	for classIndex := range doc.Fleet.Classes {
		for i, domain := range doc.Fleet.Domains {
			if len(result) == total {
				return result
			}
			factor := 1.0
			if classIndex == 1 && i < 2 {
				factor = max(slowdown, 1)
			}
			result = append(result, newMachine(doc.Fleet.Classes[classIndex], domain, classIndex == 0 && i < onDemandDomains, factor))
		}
	}
	return result
}

func newMachine(class conf.MachineClass, domain conf.DomainFleet, onDemand bool, slowdown float64) machine {
	m := machine{config: engine.Config{
		ID: domain.FailureDomain + "-" + class.Name, FailureDomain: domain.FailureDomain, Class: class.Name,
		VM: domain.FailureDomain + "-" + class.Name, Reclaimable: !onDemand, Slots: class.Slots,
		Speed:     engine.ClassSpeed(class.PrefillTokensPerS/slowdown, class.DecodeTokensPerS/slowdown, class.Slots),
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

// capacity returns the nominal decode rate of the fleet in tokens per second of real time.
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
func addEndpoints(r *rig.Rig, vms []machine) error {
	for _, m := range vms {
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
