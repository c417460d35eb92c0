package member

import (
	"math"
	"slices"
	"strings"
	"time"

	"github.com/boragelead/boragelead/api/endpoint"
)

const (
	// summaryInterval is the time between two rounds of summaries to the other domains.
	summaryInterval = 2 * time.Second
	// maxSummaryModels bounds a summary to one datagram.
	maxSummaryModels = 24
	// summaryMaxAge is the age from which a summary no longer counts as current.
	summaryMaxAge = time.Minute
	// maxDomains bounds the domains that a daemon stores. The target size has 12.
	maxDomains = 64
)

// domain is what this daemon knows of a failure domain, which may be its own.
type domain struct {
	summary Summary
	// measuredAt is the local time to which the figures of the summary apply.
	measuredAt time.Time
}

// mergeSummary stores a summary if it is newer than the stored one of its
// domain. Summaries of one relay are ordered by Seq, those of different relays
// by age.
func (n *Node) mergeSummary(s *Summary, now time.Time) {
	if s.Domain == "" || len(s.Models) > maxSummaryModels || len(s.Relays) > RelaysPerDomain {
		return
	}
	measuredAt := now.Add(-time.Duration(s.AgeMS) * time.Millisecond)
	n.sourceContact.merge(s.SourceAge, now.Sub(measuredAt), now)
	known := n.domains[s.Domain]
	if known == nil {
		if len(n.domains) >= maxDomains {
			return
		}
		n.domains[s.Domain] = &domain{summary: *s, measuredAt: measuredAt}
		return
	}
	if known.summary.Origin == s.Origin {
		if int32(s.Seq-known.summary.Seq) <= 0 {
			return
		}
	} else if !measuredAt.After(known.measuredAt) {
		return
	}
	generation := max(known.summary.Generation, s.Generation)
	known.summary = *s
	known.summary.Generation = generation
	known.measuredAt = measuredAt
}

// addProvisionalRelay uses a daemon of another domain as the relay of that domain
// until a summary lists the actual relays.
func (n *Node) addProvisionalRelay(id *Identity, now time.Time) {
	if known := n.domains[id.Domain]; known != nil && now.Sub(known.measuredAt) < summaryMaxAge {
		return
	}
	relay := Relay{Name: id.Name, Instance: id.Instance, Address: id.Address}
	n.domains[id.Domain] = &domain{
		summary:    Summary{Domain: id.Domain, Origin: id.Instance, Relays: []Relay{relay}},
		measuredAt: now.Add(-summaryInterval),
	}
}

// ownSummary returns the summary of this daemon's failure domain.
func (n *Node) ownSummary() Summary {
	s := Summary{
		Domain:     n.self.Domain,
		Origin:     n.self.Instance,
		Seq:        n.nextSeq(),
		Generation: n.generation,
		SourceAge:  n.sourceContact.age(n.lastTick),
		Relays:     n.relays(),
	}
	byModel := make(map[string]*ModelSummary)
	for _, e := range n.registry.List() {
		if e.State != endpoint.StateReady {
			continue
		}
		for i := range e.Models {
			n.addEndpoint(byModel, e, e.Models[i].Name)
		}
	}
	for _, m := range byModel {
		s.Models = append(s.Models, *m)
	}
	slices.SortFunc(s.Models, func(a, b ModelSummary) int { return strings.Compare(a.Name, b.Name) })
	s.Models = s.Models[:min(len(s.Models), maxSummaryModels)]
	return s
}

func (n *Node) addEndpoint(byModel map[string]*ModelSummary, e *Endpoint, model string) {
	m := byModel[model]
	if m == nil {
		m = &ModelSummary{Name: model, PriceClass: math.MaxUint8}
		byModel[model] = m
	}
	m.Ready++
	m.FreeSlots += clamp(e.Slots-e.Load.Running, math.MaxUint16-int(m.FreeSlots))
	m.Queue += clamp(e.Load.Waiting, math.MaxUint16-int(m.Queue))
	m.PriceClass = min(m.PriceClass, n.priceClass(e))
}

func (n *Node) priceClass(e *Endpoint) uint8 {
	if n.options.PriceClass != nil {
		return n.options.PriceClass(e)
	}
	if e.Reclaimable {
		return 0
	}
	return 1
}

// sendSummaries sends this domain's summary to each other domain that this relay
// serves. It cycles through the relays of the receiving domain.
func (n *Node) sendSummaries(now time.Time) {
	if now.Before(n.nextSummary) {
		return
	}
	n.nextSummary = now.Add(summaryInterval)
	names := n.servedDomains()
	if len(names) == 0 {
		return
	}
	body := pack(n.ownSummary())
	n.summaryRound++
	for _, name := range names {
		relays := n.domains[name].summary.Relays
		relay := relays[n.summaryRound%len(relays)]
		b := &builder{header: datagram{Instance: n.self.Instance, Incarnation: n.self.Incarnation}, newSeq: n.nextSeq}
		b.add(sectionIdentity, pack(&n.self))
		b.add(sectionSummary, body)
		n.emit(relay.Address, b)
	}
}

// servedDomains lists the other domains that this relay serves. The two relays
// divide the domains, so that each sends half of the summaries. A daemon that is
// not a relay serves none.
func (n *Node) servedDomains() []string {
	relays := n.relays()
	relayIndex := n.relayIndex()
	if relayIndex < 0 {
		return nil
	}
	var names []string
	for name, d := range n.domains {
		if name != n.self.Domain && len(d.summary.Relays) > 0 {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	served := names[:0]
	for i, name := range names {
		if i%len(relays) == relayIndex {
			served = append(served, name)
		}
	}
	return served
}

// maxForwardRounds is the largest number of rounds between two summaries that a
// relay forwards inside its domain. With 12 domains a daemon receives each
// summary every 24 s this way, and also with every anti-entropy exchange in
// between. Forwarding one summary per round cost the relay 4.8 kB/s of its
// 9 KB/s.
const maxForwardRounds = 4

// forwardSummary returns the section with which a relay forwards the summary of
// a domain that it serves to its own domain. It forwards one summary at a time.
func (n *Node) forwardSummary(now time.Time) []section {
	names := n.servedDomains()
	interval := min(maxForwardRounds, len(names))
	if interval == 0 || n.round%interval != 0 {
		return nil
	}
	d := n.domains[names[n.round/interval%len(names)]]
	if now.Sub(d.measuredAt) >= summaryMaxAge {
		return nil
	}
	s := d.summaryAt(now)
	return []section{{sectionSummary, pack(&s)}}
}

// summaryAt returns the summary with its age at a local time.
func (d *domain) summaryAt(now time.Time) Summary {
	s := d.summary
	s.AgeMS = uint32(min(now.Sub(d.measuredAt).Milliseconds(), math.MaxInt32))
	return s
}

// summaries returns the current summaries of all domains for an anti-entropy exchange.
func (n *Node) summaries(now time.Time) []Summary {
	list := []Summary{n.ownSummary()}
	for name, d := range n.domains {
		if name != n.self.Domain && now.Sub(d.measuredAt) < summaryMaxAge {
			list = append(list, d.summaryAt(now))
		}
	}
	return list
}

// Domains returns the other failure domains, including those whose last summary is outdated.
func (n *Node) Domains(now time.Time) []DomainView {
	n.mu.Lock()
	defer n.mu.Unlock()
	list := make([]DomainView, 0, len(n.domains))
	for name, d := range n.domains {
		if name != n.self.Domain {
			list = append(list, DomainView{Summary: d.summary, Age: now.Sub(d.measuredAt)})
		}
	}
	slices.SortFunc(list, func(a, b DomainView) int { return strings.Compare(a.Domain, b.Domain) })
	return list
}

// NewestGeneration returns the highest generation that other daemons have
// reported and the addresses of daemons that may have it.
func (n *Node) NewestGeneration() (number uint64, addresses []string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	consider := func(generation uint64, address string) {
		switch {
		case generation > number:
			number = generation
			addresses = []string{address}
		case generation == number && generation > 0:
			addresses = append(addresses, address)
		}
	}
	// Only relays pull across domains, so that not every daemon pulls across at
	// once when a partition heals.
	if n.relayIndex() >= 0 {
		for name, d := range n.domains {
			for _, relay := range d.summary.Relays {
				if name != n.self.Domain {
					consider(d.summary.Generation, relay.Address)
				}
			}
		}
	}
	foreignNumber, foreignAddresses := number, addresses
	number, addresses = 0, nil
	for _, p := range n.peers {
		if p.Status == Alive {
			consider(p.Generation, p.Address)
		}
	}
	if foreignNumber > number {
		return foreignNumber, foreignAddresses
	}
	return number, addresses
}

// HandleFetch answers a daemon of another domain that needs endpoints of this
// domain to route to.
func (n *Node) HandleFetch(now time.Time, request []byte) ([]byte, error) {
	var r fetchRequest
	if err := unpack("fetch request", request, &r); err != nil {
		return nil, err
	}
	found := n.registry.Candidates(r.Model)
	if r.Service != "" {
		found = n.registry.Service(r.Service)
	}
	records := make([]Record, 0, len(found))
	for _, e := range found {
		records = append(records, n.registry.record(e, now))
	}
	return pack(records), nil
}

// FetchRequest encodes a request for the endpoints of a model or a service of another domain.
func FetchRequest(model, service string) []byte {
	return pack(&fetchRequest{Model: model, Service: service})
}

// DecodeFetch decodes the answer to a fetch. It does not add the endpoints to the registry.
func DecodeFetch(reply []byte, now time.Time) ([]*Endpoint, error) {
	var records []Record
	if err := unpack("fetch reply", reply, &records); err != nil {
		return nil, err
	}
	list := make([]*Endpoint, 0, len(records))
	for i := range records {
		list = append(list, fromRecord(&records[i], now))
	}
	return list, nil
}
