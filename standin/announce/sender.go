// Package announce sends the announcements, withdrawals and cache events of
// stand-in endpoints to entry daemons.
package announce

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"sync"
	"time"

	"github.com/boragelead/boragelead/api/endpoint"
)

// sendTimeout limits the time to send one message to one entry daemon.
// Otherwise the lease of the endpoint could expire while the sender waits for a
// daemon that does not answer.
const sendTimeout = time.Second

// ErrNoEntry is returned when the sender knows no entry daemon.
var ErrNoEntry = errors.New("no entry daemon is known")

// StatusError reports that an entry daemon answered with a status other than 2xx.
type StatusError struct{ Status int }

// Error implements error.
func (e *StatusError) Error() string {
	return fmt.Sprintf("entry daemon answered with status %d", e.Status)
}

// Sender sends messages to one entry daemon and fails over to another one when
// sending fails. It is safe for concurrent use.
type Sender struct {
	client *http.Client

	mu      sync.Mutex
	entries []string
}

// NewSender returns a sender that initially knows the entry daemons with the
// given base URLs.
func NewSender(entries []string) *Sender {
	return &Sender{client: &http.Client{Timeout: sendTimeout}, entries: append([]string(nil), entries...)}
}

// Announce registers the endpoint or renews its lease. It adds the entry
// daemons that the reply lists to those that the sender knows.
func (s *Sender) Announce(ctx context.Context, a *endpoint.Announcement) (endpoint.AnnounceReply, error) {
	var reply endpoint.AnnounceReply
	err := s.send(ctx, endpoint.PathAnnounce, a, &reply)
	s.addEntries(reply.Entries)
	return reply, err
}

// Withdraw announces that the endpoint will stop or has stopped.
func (s *Sender) Withdraw(ctx context.Context, w *endpoint.Withdrawal) error {
	return s.send(ctx, endpoint.PathWithdraw, w, nil)
}

// CacheEvents sends changes to the prefix cache.
func (s *Sender) CacheEvents(ctx context.Context, events *endpoint.CacheEvents) error {
	return s.send(ctx, endpoint.PathCacheEvents, events, nil)
}

func (s *Sender) addEntries(entries []string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, entry := range entries {
		if !contains(s.entries, entry) {
			s.entries = append(s.entries, entry)
		}
	}
}

func contains(list []string, s string) bool {
	for _, item := range list {
		if item == s {
			return true
		}
	}
	return false
}

// send tries each known entry daemon once until one accepts the message. It
// starts with the daemon that worked last.
func (s *Sender) send(ctx context.Context, path string, body, reply any) error {
	data, err := json.Marshal(body)
	if err != nil {
		return err
	}
	s.mu.Lock()
	entries := append([]string(nil), s.entries...)
	s.mu.Unlock()
	err = ErrNoEntry
	for _, entry := range entries {
		if err = s.post(ctx, entry+path, data, reply); err == nil {
			return nil
		}
		s.moveToEnd(entry)
	}
	return err
}

func (s *Sender) moveToEnd(entry string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.entries[0] == entry {
		s.entries = append(s.entries[1:len(s.entries):len(s.entries)], entry)
	}
}

func (s *Sender) post(ctx context.Context, url string, data []byte, reply any) error {
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, url, bytes.NewReader(data))
	if err != nil {
		return err
	}
	req.Header.Set("Content-Type", "application/json")
	resp, err := s.client.Do(req)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	if resp.StatusCode/100 != 2 {
		return &StatusError{Status: resp.StatusCode}
	}
	if reply == nil {
		return nil
	}
	return json.NewDecoder(resp.Body).Decode(reply)
}
