package pick

import "github.com/boragelead/boragelead/internal/gateway/registry"

// Sample returns up to n ready endpoints of a service, or of all services if it is empty: first
// those that are most likely reached, one in the given failure domain and the one that sent
// a byte last, then others at random and of as many failure domains as possible.
func (b *Board) Sample(service, domain string, n int) []registry.Endpoint {
	b.mu.Lock()
	defer b.mu.Unlock()
	ready := b.ready(service)
	b.shuffle(ready)
	var near, heard *stats
	for _, s := range ready {
		if near == nil && s.endpoint.Domain == domain {
			near = s
		}
		if !s.lastByteAt.IsZero() && (heard == nil || s.lastByteAt.After(heard.lastByteAt)) {
			heard = s
		}
	}
	sample := make([]registry.Endpoint, 0, n)
	sampled := make(map[*stats]bool)
	domains := make(map[string]bool)
	add := func(s *stats) {
		if s != nil && !sampled[s] && len(sample) < n {
			sampled[s], domains[s.endpoint.Domain] = true, true
			sample = append(sample, s.endpoint)
		}
	}
	add(near)
	add(heard)
	for _, s := range ready {
		if !domains[s.endpoint.Domain] {
			add(s)
		}
	}
	for _, s := range ready {
		add(s)
	}
	return sample
}

// ready returns the ready endpoints of a service, or of all if it is empty. The caller must
// hold mu.
func (b *Board) ready(service string) (list []*stats) {
	for name, members := range b.services {
		if service != "" && name != service {
			continue
		}
		for _, s := range members {
			if s.endpoint.State == registry.Ready {
				list = append(list, s)
			}
		}
	}
	return list
}

// shuffle puts a list in a random order.
func (b *Board) shuffle(list []*stats) {
	for i := len(list) - 1; i > 0; i-- {
		j := int(b.random()*float64(i+1)) % (i + 1)
		list[i], list[j] = list[j], list[i]
	}
}

// Services returns the services that have endpoints.
func (b *Board) Services() []string {
	b.mu.Lock()
	defer b.mu.Unlock()
	list := make([]string, 0, len(b.services))
	for name := range b.services {
		list = append(list, name)
	}
	return list
}
