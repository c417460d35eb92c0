package member

import "time"

const (
	// MaxPayload bounds one payload in bytes, so that several fit a datagram.
	MaxPayload = 512
	// payloadRefresh is how many rounds pass until an unchanged payload is sent again.
	payloadRefresh = 8
)

// payloads are the small messages that other packages attach to datagrams.
type payloads struct {
	own     map[string][]byte
	changed map[string]int
}

func (p *payloads) init() {
	p.own = make(map[string][]byte)
	p.changed = make(map[string]int)
}

// sections returns the payloads that are due: those changed within the last
// repeatRounds, or all of them now and then.
func (p *payloads) sections(round int, regular bool) []section {
	var list []section
	for kind, data := range p.own {
		age := round - p.changed[kind]
		refresh := regular && age%payloadRefresh == 0
		if (regular && age < repeatRounds) || refresh {
			list = append(list, section{sectionPayload, pack(&wirePayload{Kind: kind, Data: data})})
		}
	}
	return list
}

// all returns every payload, for a peer that does not hear this daemon yet.
func (p *payloads) all() []section {
	list := make([]section, 0, len(p.own))
	for kind, data := range p.own {
		list = append(list, section{sectionPayload, pack(&wirePayload{Kind: kind, Data: data})})
	}
	return list
}

// SetPayload makes the next datagrams carry data of a kind, in place of what
// the kind had before. The error is a *PayloadSizeError.
func (n *Node) SetPayload(kind string, data []byte) error {
	if len(data)+len(kind) > MaxPayload {
		return &PayloadSizeError{Kind: kind, Size: len(data) + len(kind), Limit: MaxPayload}
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	if old, ok := n.payloads.own[kind]; ok && string(old) == string(data) {
		return nil
	}
	n.payloads.own[kind] = append([]byte(nil), data...)
	n.payloads.changed[kind] = n.round
	return nil
}

// Payloads returns the newest data of a kind from each live daemon of the domain.
func (n *Node) Payloads(kind string) []Payload {
	n.mu.Lock()
	defer n.mu.Unlock()
	var list []Payload
	for _, p := range n.peers {
		if found, ok := p.payloads[kind]; ok && p.present() {
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

// maxPayloadKinds bounds what one peer can make this daemon store.
const maxPayloadKinds = 16
