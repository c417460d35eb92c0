//go:build review2

package main

import (
	"context"
	"time"
)

func init() { cases["withdrawn"] = playWithdrawn }

const (
	// lateBeat is how late the last heartbeat of the runner arrives.
	lateBeat = 4 * time.Second
	// linger is how long the runner serves after its withdrawal was acknowledged.
	linger = 8 * time.Second
)

// playWithdrawn lets a runner withdraw shortly before all processes of the core are killed.
func playWithdrawn(s *system, trouble bool) int {
	f, app, err := begin(s, 4)
	if err != nil {
		s.rec.printf("not played: %v", err)
		return notPlayed
	}
	c := newClient("key-one")
	stopSound := f.soundTraffic(c)
	time.Sleep(2 * time.Second)
	leaving := app[1]
	leaving.mu.Lock()
	leaving.silent = true
	leaving.mu.Unlock()
	time.Sleep(100 * time.Millisecond)
	id, late := leaving.beat()
	s.rec.printf("runner %s sends its last heartbeat, which will arrive late: %s", id, late)
	sentAt := time.Now()
	ctx, cancel := context.WithTimeout(context.Background(), 3*time.Second)
	defer cancel()
	if err := s.control(ctx, "DELETE", "/instances/"+id, nil); err != nil {
		s.rec.printf("not played: %v", err)
		return notPlayed
	}
	gone := time.Now()
	s.rec.printf("DELETE /instances/%s is acknowledged; the runner goes on serving for drainMs and many seconds more", id)
	calm := gone
	if trouble {
		if err := s.killAll(s.cores, downTime); err != nil {
			s.rec.printf("not played: %v", err)
			return notPlayed
		}
		calm = time.Now()
	}
	time.Sleep(time.Until(sentAt.Add(lateBeat)))
	ctx, cancel = context.WithTimeout(context.Background(), 3*time.Second)
	defer cancel()
	s.rec.printf("the late heartbeat of %s arrives; answer: %v", id, s.control(ctx, "PUT", "/instances/"+id, late))
	time.Sleep(time.Until(gone.Add(linger)))
	leaving.end()
	s.rec.printf("runner %s has ended", id)
	time.Sleep(3 * time.Second)
	lost, sent := stopSound()
	after := 0
	f.mu.Lock()
	for _, a := range f.arrivals {
		if a.runner == id && a.at.After(gone.Add(drainTime)) && a.at.After(calm.Add(contact)) {
			if after++; after <= 5 || a.crashed {
				s.rec.printf("%s began to run at %s %.3f s after the acknowledgement (drainMs %s), lost with the runner: %t", a.attempt, id, a.at.Sub(gone).Seconds(), drainTime, a.crashed)
			}
		}
	}
	f.mu.Unlock()
	s.rec.printf("%d requests sent in all; %d ran at the runner as it ended and were lost", sent, lost)
	s.rec.printf("%d requests reached the runner later than drainMs after the acknowledgement, sent on by machines in touch; allowed are none", after)
	if after > 0 {
		return broken
	}
	return held
}
