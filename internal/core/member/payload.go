package member

import "time"

const (
	// MaxPayload bounds one payload in bytes, so that several fit into a datagram.
	MaxPayload = 512
	// payloadRefresh is the number of rounds after which an unchanged payload is sent again.
	payloadRefresh = 8
)

// payloads are the small messages that other packages attach to datagrams.
type payloads struct {
	current      map[string][]byte
	changedRound map[string]int
}

func (p *payloads) init() {
	p.current = make(map[string][]byte)
	p.changedRound = make(map[string]int)
}

// dueSections returns the payloads to send. In a regular round these are the
// payloads that changed within the last repeatRounds, and each payload again every
// payloadRefresh rounds. Between rounds there are none.
func (p *payloads) dueSections(round int, regular bool) []section {
	var list []section
	for kind, data := range p.current {
		age := round - p.changedRound[kind]
		refresh := regular && age%payloadRefresh == 0
		if (regular && age < repeatRounds) || refresh {
			list = append(list, section{sectionPayload, pack(&wirePayload{Kind: kind, Data: data})})
		}
	}
	return list
}

// allSections returns every payload, for a peer that does not receive datagrams
// of this daemon yet.
func (p *payloads) allSections() []section {
	list := make([]section, 0, len(p.current))
	for kind, data := range p.current {
		list = append(list, section{sectionPayload, pack(&wirePayload{Kind: kind, Data: data})})
	}
	return list
}

// SetPayload sets the data of a kind, which the next datagrams carry. It replaces
// earlier data of the kind. The error is a *PayloadSizeError.
func (n *Node) SetPayload(kind string, data []byte) error {
	if len(data)+len(kind) > MaxPayload {
		return &PayloadSizeError{Kind: kind, Size: len(data) + len(kind), Limit: MaxPayload}
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	if old, ok := n.payloads.current[kind]; ok && string(old) == string(data) {
		return nil
	}
	n.payloads.current[kind] = append([]byte(nil), data...)
	n.payloads.changedRound[kind] = n.round
	return nil
}

// Payloads returns the newest data of a kind from each live daemon of the domain.
func (n *Node) Payloads(kind string) []Payload {
	n.mu.Lock()
	defer n.mu.Unlock()
	var list []Payload
	for _, p := range n.peers {
		if found, ok := p.payloads[kind]; ok && p.live() {
			list = append(list, found)
		}
	}
	return list
}

func (p *peer) storePayload(w *wirePayload, now time.Time) {
	if p.payloads == nil {
		p.payloads = make(map[string]Payload)
	}
	if _, known := p.payloads[w.Kind]; !known && len(p.payloads) >= maxPayloadKinds {
		return
	}
	p.payloads[w.Kind] = Payload{Daemon: p.Name, Instance: p.Instance, Data: w.Data, At: now}
}

// maxPayloadKinds bounds the payloads that this daemon stores for one peer.
const maxPayloadKinds = 16
