//go:build review2

package main

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"
	"syscall"
	"time"

	"github.com/boragelead/boragelead/internal/adapter/peerrpc"
	"github.com/boragelead/boragelead/internal/replica"
)

func init() { cases["quorum"] = playQuorum }

const (
	// catchUp is catchUpS, and recovery recoveryS of portfolio-nord.
	catchUp  = 4 * time.Second
	recovery = 12 * time.Second
	// darkTime is how long one machine is down, and emptyTime how long the one that loses its disk is.
	darkTime  = 3 * time.Second
	emptyTime = time.Second
	// gap is the time from the kill of one machine to the SIGTERM of the one that is replaced, and
	// wipeAfter the time from its end to the loss of a disk.
	gap       = 1600 * time.Millisecond
	wipeAfter = 300 * time.Millisecond
)

// observer asks the core machines for their view of the group. It only tells the script which
// machine leads, as the platform's kinds of disruption with `leader` do.
type observer struct {
	s      *system
	client *replica.Client
	node   *peerrpc.Node
}

func newObserver(s *system) *observer {
	node := peerrpc.New(peerrpc.Options{})
	return &observer{s: s, node: node, client: replica.NewClient(replica.DefaultGroup, nil, node)}
}

func (o *observer) status(m *machine) *replica.Status {
	ctx, cancel := context.WithTimeout(context.Background(), 100*time.Millisecond)
	defer cancel()
	status, err := o.client.Status(ctx, net.JoinHostPort(m.ip, strconv.Itoa(peerPort)))
	if err != nil {
		return nil
	}
	return status
}

// leader waits for a machine that leads, other than one, and has committed an entry of its term.
func (o *observer) leader(list []*machine, other *machine, timeout time.Duration) (*machine, *replica.Status) {
	for end := time.Now().Add(timeout); time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
		for _, m := range list {
			if m == other {
				continue
			}
			if status := o.status(m); status != nil && status.Role == replica.RoleLeader && status.Commit > 0 {
				return m, status
			}
		}
	}
	return nil, nil
}

// describe names the voters of a machine's configuration.
func (o *observer) describe(m *machine) string {
	status := o.status(m)
	if status == nil {
		return "no answer"
	}
	var voters []string
	for _, v := range status.Config.Voters {
		voters = append(voters, strings.TrimSuffix(v.Address, ":"+strconv.Itoa(peerPort)))
	}
	return fmt.Sprintf("%s in term %d, log committed up to %d, voters %s", status.Role, status.Term, status.Commit, strings.Join(voters, " "))
}

// read reads the configuration at a core machine.
func (s *system) read(m *machine) (version int, problem string) {
	client := &http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	response, err := client.Get(fmt.Sprintf("http://%s:%d/configuration", m.ip, controlPort))
	if err != nil {
		return 0, err.Error()
	}
	defer response.Body.Close()
	data, _ := io.ReadAll(response.Body)
	var content struct{ Version int }
	if response.StatusCode != http.StatusOK || json.Unmarshal(data, &content) != nil {
		return 0, fmt.Sprintf("status %d", response.StatusCode)
	}
	return content.Version, ""
}

// without returns the machines but some.
func without(list []*machine, others ...*machine) (rest []*machine) {
	for _, m := range list {
		keep := true
		for _, other := range others {
			keep = keep && m != other
		}
		if keep {
			rest = append(rest, m)
		}
	}
	return rest
}

// playQuorum replaces a core machine as planned, while another one is down for a moment; then a third
// one loses its disk.
func playQuorum(s *system, trouble bool) int {
	if _, _, err := begin(s, 2); err != nil {
		s.rec.printf("not played: %v", err)
		return notPlayed
	}
	o := newObserver(s)
	defer o.node.Close()
	leader, _ := o.leader(s.cores, nil, 5*time.Second)
	if leader == nil {
		s.rec.printf("not played: no leader")
		return notPlayed
	}
	// The planned replacement: the new machine first, then SIGTERM for the old one.
	old := without(s.cores, leader)[2]
	var seeds []string
	for _, m := range s.cores[:3] {
		seeds = append(seeds, net.JoinHostPort(m.ip, strconv.Itoa(controlPort)))
	}
	successor := s.newMachine("core-"+old.zone+"-2", "state", s.ip(1, 4), old.zone, seeds, fmt.Sprintf("%s:%d", s.ip(9, 0), cloudPort))
	successor.config["bootstrap"] = false
	if err := s.launch(successor); err != nil {
		s.rec.printf("not played: %v", err)
		return notPlayed
	}
	s.cores = append(s.cores, successor)
	s.rec.printf("%s starts, as the successor of %s", successor.name, old.name)
	started := time.Now()
	time.Sleep(catchUp + 2*time.Second)
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	if err := s.control(ctx, "PUT", "/configuration", configuration(2)); err != nil {
		s.rec.printf("not played: %v", err)
		return notPlayed
	}
	leader, _ = o.leader(s.cores, nil, 5*time.Second)
	if leader == nil || leader == old {
		s.rec.printf("not played: the leader has changed")
		return notPlayed
	}
	s.rec.printf("version 2 is acknowledged; %s leads: %s", leader.name, o.describe(leader))
	others := without(s.cores, leader, old, successor)
	dark, empty := others[0], others[1]
	var darkSince time.Time
	if trouble {
		_ = dark.command.Process.Signal(syscall.SIGKILL)
		<-dark.exited
		s.rec.printf("%s is killed; it is back in %s, with its disk", dark.name, darkTime)
		darkSince = time.Now()
		time.Sleep(gap)
	}
	_ = old.command.Process.Signal(syscall.SIGTERM)
	<-old.exited
	s.rec.printf("%s has ended after SIGTERM and is gone for good; its successor has run for %.1f s", old.name, time.Since(started).Seconds())
	s.cores = without(s.cores, old)
	if trouble {
		time.Sleep(wipeAfter)
		_ = empty.command.Process.Signal(syscall.SIGKILL)
		<-empty.exited
		if err := os.RemoveAll(empty.data); err != nil {
			s.rec.printf("not played: %v", err)
			return notPlayed
		}
		s.rec.printf("%s loses its disk; it is back in %s, empty", empty.name, emptyTime)
		s.rec.printf("%s: %s", leader.name, o.describe(leader))
		wiped := time.Now()
		time.Sleep(time.Until(darkSince.Add(darkTime)))
		err := s.launch(dark)
		s.rec.printf("%s is back", dark.name)
		if err == nil {
			time.Sleep(time.Until(wiped.Add(emptyTime)))
			err = s.launch(empty)
		}
		if err != nil {
			s.rec.printf("not played: %v", err)
			return notPlayed
		}
		s.rec.printf("%s is back", empty.name)
		time.Sleep(time.Second)
	}
	s.rec.printf("all core machines are back; recoveryS passes")
	time.Sleep(recovery)
	for _, m := range s.cores {
		s.rec.printf("%s: %s", m.name, o.describe(m))
	}
	newest, tries := 0, 0
	for end := time.Now().Add(contact + 2*time.Second); time.Now().Before(end); time.Sleep(200 * time.Millisecond) {
		for _, m := range s.cores {
			version, problem := s.read(m)
			newest = max(newest, version)
			if tries++; tries <= len(s.cores) {
				s.rec.printf("GET /configuration at %s: version %d %s", m.name, version, problem)
			}
		}
	}
	ctx, cancel = context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	s.rec.printf("PUT of version 3, for 10 s at all core machines in turn: error %v", s.control(ctx, "PUT", "/configuration", configuration(3)))
	s.rec.printf("version 2 was acknowledged; the newest version read back in %d reads is %d", tries, newest)
	if newest < 2 {
		return broken
	}
	return held
}
