//go:build review2

package main

import (
	"context"
	"fmt"
	"sync"
	"time"
)

func init() { cases["quarantine"] = playQuarantine }

const (
	appRunners   = 4
	otherRunners = 8
	// runnerBack is after how long a crashed runner is back.
	runnerBack = 2 * time.Second
	// maxRetries is how often a request may reach runners later than contactMs after it has
	// crashed the third.
	maxRetries = 3
)

// begin starts the system, its runners and the first configuration.
func begin(s *system, edges int) (*fleet, []*runner, error) {
	if err := s.start(edges); err != nil {
		return nil, nil, err
	}
	f := &fleet{s: s, ctx: context.Background()}
	var app []*runner
	for i := range appRunners {
		r, err := f.add("app", zones[i%4], s.ip(3, i), 6, 60*time.Millisecond, runnerBack)
		if err != nil {
			return nil, nil, err
		}
		app = append(app, r)
	}
	for i := range otherRunners {
		if _, err := f.add("other", zones[i%4], s.ip(4, i), 6, 60*time.Millisecond, runnerBack); err != nil {
			return nil, nil, err
		}
	}
	ctx, cancel := context.WithTimeout(context.Background(), startTimeout)
	defer cancel()
	if err := s.control(ctx, "PUT", "/configuration", configuration(1)); err != nil {
		return nil, nil, err
	}
	if err := s.awaitReady(startTimeout); err != nil {
		return nil, nil, err
	}
	time.Sleep(contact + time.Second)
	s.rec.printf("the system serves: %d core machines, %d edge machines, %d runners of app, %d of other", len(s.cores), len(s.edges), appRunners, otherRunners)
	return f, app, nil
}

// playQuarantine sends a request that crashes each runner which begins to run it.
func playQuarantine(s *system, trouble bool) int {
	f, _, err := begin(s, 4)
	if err != nil {
		s.rec.printf("not played: %v", err)
		return notPlayed
	}
	c := newClient("key-one")
	number := 0
	deadly := func(m *machine) (attempt string, a answer) {
		number++
		attempt = fmt.Sprintf("deadly-%02d", number)
		a = c.send(m, "POST", "ficu95.example", "/publish/x", attempt, deadlyMark, 3*time.Second)
		s.rec.printf("%s at %s: %s", attempt, m.name, a)
		return attempt, a
	}
	for i := 0; i < 10 && len(f.deadlyRuns()) < 3; i++ {
		deadly(s.edges[i%len(s.edges)])
		time.Sleep(runnerBack + time.Second)
	}
	runs := f.deadlyRuns()
	if len(runs) != 3 {
		s.rec.printf("not played: %d runners crashed, 3 expected", len(runs))
		return notPlayed
	}
	third := runs[2].at
	time.Sleep(time.Until(third.Add(contact + 500*time.Millisecond)))
	for _, m := range s.edges {
		deadly(m)
	}
	s.rec.printf("later than contactMs after the third crash, %d retries have reached runners", f.retriesAfter(third))
	stopSound := f.soundTraffic(c)
	for round := 1; round <= 2; round++ {
		if trouble {
			if err := s.killAll(s.machines(), downTime); err != nil {
				s.rec.printf("not played: %v", err)
				return notPlayed
			}
		}
		if err := s.awaitReady(startTimeout); err != nil {
			s.rec.printf("not played: %v", err)
			return notPlayed
		}
		s.rec.printf("all edge machines are ready; the request comes again once they are in touch")
		time.Sleep(contact + 2*time.Second)
		for i := range 4 {
			deadly(s.edges[i%len(s.edges)])
			time.Sleep(runnerBack + time.Second)
		}
	}
	lost, sent := stopSound()
	retries := f.retriesAfter(third)
	s.rec.printf("sound requests beside it: %d sent; %d began to run at a runner that crashed and were lost", sent, lost)
	s.rec.printf("later than contactMs after the third crash, %d retries reached runners, allowed are %d", retries, maxRetries)
	if retries > maxRetries {
		return broken
	}
	return held
}

// deadlyRuns returns the runs of deadly requests in their order.
func (f *fleet) deadlyRuns() (list []*arrival) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, a := range f.arrivals {
		if a.body == deadlyMark {
			list = append(list, a)
		}
	}
	return list
}

// retriesAfter counts the attempts that reached runners later than contactMs after a time.
func (f *fleet) retriesAfter(third time.Time) int {
	attempts := map[string]bool{}
	for _, a := range f.deadlyRuns() {
		if a.at.After(third.Add(contact)) {
			attempts[a.attempt] = true
		}
	}
	return len(attempts)
}

// soundTraffic sends other requests of the route until the returned function is called. That one
// returns how many were lost while a deadly request crashed their runner, and how many were sent.
func (f *fleet) soundTraffic(c *client) (stop func() (lost, sent int)) {
	ctx, cancel := context.WithCancel(context.Background())
	var mu sync.Mutex
	var group sync.WaitGroup
	lost, sent := 0, 0
	for i, m := range f.s.edges {
		group.Go(func() {
			for n := 0; ctx.Err() == nil; n++ {
				attempt := fmt.Sprintf("sound-%d-%04d", i, n)
				group.Go(func() {
					a := c.send(m, "POST", "ficu95.example", "/publish/y", attempt, attempt, 3*time.Second)
					mu.Lock()
					defer mu.Unlock()
					sent++
					if runs := f.ranFor(attempt); a.status != 200 && len(runs) > 0 && runs[0].crashed {
						lost++
						f.s.rec.printf("%s (sound) ran at runner %s and was lost: %s", attempt, runs[0].runner, a)
					}
				})
				time.Sleep(50 * time.Millisecond)
			}
		})
	}
	return func() (int, int) {
		cancel()
		group.Wait()
		mu.Lock()
		defer mu.Unlock()
		return lost, sent
	}
}
