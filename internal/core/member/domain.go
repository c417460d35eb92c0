package member

import (
	"math"
	"slices"
	"strings"
	"time"

	"github.com/boragelead/boragelead/api/endpoint"
)

const (
	// summaryInterval is the time between two summaries to another domain.
	summaryInterval = 2 * time.Second
	// maxSummaryModels bounds a summary to one datagram.
	maxSummaryModels = 24
	// domainSilent is the age from which a summary no longer counts as a picture of the domain.
	domainSilent = time.Minute
	// maxDomains bounds the domains remembered; the target size has 12.
	maxDomains = 64
)

// domain is a failure domain as known here, the own one included.
type domain struct {
	summary Summary
	// at is the local time at which the figures were true.
	at time.Time
}

// takeSummary keeps the newest summary of a domain. Summaries of one relay are
// ordered by Seq, those of different relays by age.
func (n *Node) takeSummary(s *Summary, now time.Time) {
	if s.Domain == "" || len(s.Models) > maxSummaryModels || len(s.Relays) > Relays {
		return
	}
	at := now.Add(-time.Duration(s.AgeMS) * time.Millisecond)
	n.contact.take(s.SourceAge, now.Sub(at), now)
	known := n.domains[s.Domain]
	if known == nil {
		if len(n.domains) >= maxDomains {
			return
		}
		n.domains[s.Domain] = &domain{summary: *s, at: at}
		return
	}
	if known.summary.Origin == s.Origin {
		if int32(s.Seq-known.summary.Seq) <= 0 {
			return
		}
	} else if !at.After(known.at) {
		return
	}
	generation := max(known.summary.Generation, s.Generation)
	known.summary = *s
	known.summary.Generation = generation
	known.at = at
}

// meetDomain notes a daemon of another domain as its relay until a summary names others.
func (n *Node) meetDomain(id *Identity, now time.Time) {
	if known := n.domains[id.Domain]; known != nil && now.Sub(known.at) < domainSilent {
		return
	}
	relay := Relay{Name: id.Name, Instance: id.Instance, Address: id.Address}
	n.domains[id.Domain] = &domain{
		summary: Summary{Domain: id.Domain, Origin: id.Instance, Relays: []Relay{relay}},
		at:      now.Add(-summaryInterval),
	}
}

// ownSummary sums up this domain.
func (n *Node) ownSummary() Summary {
	s := Summary{
		Domain:     n.self.Domain,
		Origin:     n.self.Instance,
		Seq:        n.nextSeq(),
		Generation: n.generation,
		SourceAge:  n.contact.age(n.lastTick),
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

// summarize sends this domain's summary to one relay of each other domain that
// this relay serves, in turn.
func (n *Node) summarize(now time.Time) {
	if now.Before(n.nextSummary) {
		return
	}
	n.nextSummary = now.Add(summaryInterval)
	names := n.served()
	if len(names) == 0 {
		return
	}
	body := pack(n.ownSummary())
	n.spread++
	for _, name := range names {
		relays := n.domains[name].summary.Relays
		relay := relays[n.spread%len(relays)]
		b := &builder{head: datagram{Instance: n.self.Instance, Incarnation: n.self.Incarnation}, next: n.nextSeq}
		b.add(sectionIdentity, pack(&n.self))
		b.add(sectionSummary, body)
		n.emit(relay.Address, b)
	}
}

// served lists the other domains that this relay serves: the relays divide
// them, so that each carries half of the summaries. Other daemons serve none.
func (n *Node) served() []string {
	relays := n.relays()
	rank := n.rank()
	if rank < 0 {
		return nil
	}
	var names []string
	for name, d := range n.domains {
		if name != n.self.Domain && len(d.summary.Relays) > 0 {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	mine := names[:0]
	for i, name := range names {
		if i%len(relays) == rank {
			mine = append(mine, name)
		}
	}
	return mine
}

// maxForwardRounds is the most rounds between two summaries that a relay
// passes on inside its domain. With 12 domains each summary comes by every
// 24 s this way, and with every anti-entropy exchange in between; one each
// round cost the relay 4.8 kB/s of its 9 KB/s.
const maxForwardRounds = 4

// foreignSummary makes a relay pass on the summaries of the domains it serves, one at a time.
func (n *Node) foreignSummary(now time.Time) []section {
	names := n.served()
	every := min(maxForwardRounds, len(names))
	if every == 0 || n.round%every != 0 {
		return nil
	}
	d := n.domains[names[n.round/every%len(names)]]
	if now.Sub(d.at) >= domainSilent {
		return nil
	}
	s := d.aged(now)
	return []section{{sectionSummary, pack(&s)}}
}

func (d *domain) aged(now time.Time) Summary {
	s := d.summary
	s.AgeMS = uint32(min(now.Sub(d.at).Milliseconds(), math.MaxInt32))
	return s
}

// summaries are those of all domains, for an anti-entropy exchange.
func (n *Node) summaries(now time.Time) []Summary {
	list := []Summary{n.ownSummary()}
	for name, d := range n.domains {
		if name != n.self.Domain && now.Sub(d.at) < domainSilent {
			list = append(list, d.aged(now))
		}
	}
	return list
}

// Domains returns the other failure domains, also those that are silent now.
func (n *Node) Domains(now time.Time) []DomainView {
	n.mu.Lock()
	defer n.mu.Unlock()
	list := make([]DomainView, 0, len(n.domains))
	for name, d := range n.domains {
		if name != n.self.Domain {
			list = append(list, DomainView{Summary: d.summary, Age: now.Sub(d.at)})
		}
	}
	slices.SortFunc(list, func(a, b DomainView) int { return strings.Compare(a.Domain, b.Domain) })
	return list
}

// NewestGeneration returns the highest generation heard of and the addresses
// of daemons that may have it.
func (n *Node) NewestGeneration() (number uint64, addresses []string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	note := func(generation uint64, address string) {
		switch {
		case generation > number:
			number = generation
			addresses = []string{address}
		case generation == number && generation > 0:
			addresses = append(addresses, address)
		}
	}
	// Only relays pull across domains, so that a healed partition is not
	// crossed by every daemon at once.
	if n.rank() >= 0 {
		for name, d := range n.domains {
			for _, relay := range d.summary.Relays {
				if name != n.self.Domain {
					note(d.summary.Generation, relay.Address)
				}
			}
		}
	}
	foreign, far := number, addresses
	number, addresses = 0, nil
	for _, p := range n.peers {
		if p.Status == Alive {
			note(p.Generation, p.Address)
		}
	}
	if foreign > number {
		return foreign, far
	}
	return number, addresses
}

// HandleFetch answers another domain that wants to route here.
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

// DecodeFetch decodes the answer to a fetch. The endpoints are not part of the registry.
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
