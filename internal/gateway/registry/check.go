package registry

import (
	"fmt"
	"net/netip"
	"strings"
	"time"
	"unicode"
)

const (
	// maxNameBytes limits the ID, the service, the domain and the software version.
	maxNameBytes = 256
	// maxSlots is more than any endpoint has.
	maxSlots = 1 << 16
	// maxSeq is the largest number that every writer of JSON can represent. A larger one
	// would hold against all later announcements of the endpoint.
	maxSeq = 1 << 53
	// maxBornAhead is how far the start of an endpoint may lie ahead of the clock of the
	// replica. A start that lies far ahead would hold against the endpoint itself.
	maxBornAhead = 24 * time.Hour
	// maxTimeLeft is the longest notice of an endpoint that drains.
	maxTimeLeft = 24 * time.Hour
)

// InvalidEndpointError reports a field of an announcement that has no valid value. Such an
// announcement describes no endpoint.
type InvalidEndpointError struct{ ID, Field, Value string }

// Error implements error.
func (e *InvalidEndpointError) Error() string {
	return fmt.Sprintf("announcement of endpoint %q: %s is not valid: %s", e.ID, e.Field, e.Value)
}

// Check returns an *InvalidEndpointError if a field has no valid value. Of an endpoint that
// is gone, only the ID and the start are known to every replica.
func (e *Endpoint) Check(now time.Time) error {
	invalid := func(field string, value any) error {
		const maxShown = 64
		return &InvalidEndpointError{ID: firstBytes(e.ID, maxShown), Field: field, Value: firstBytes(fmt.Sprintf("%q", fmt.Sprint(value)), maxShown)}
	}
	if !isName(e.ID) {
		return invalid("id", e.ID)
	}
	if e.State < Ready || e.State > Gone {
		return invalid("state", e.State)
	}
	if e.Born < 0 || e.Born > now.Add(maxBornAhead).UnixMilli() {
		return invalid("start", e.Born)
	}
	if e.State == Gone {
		return nil
	}
	address, err := netip.ParseAddrPort(e.Address)
	switch {
	case err != nil || address.Port() == 0 || address.Addr().IsUnspecified():
		return invalid("address", e.Address)
	case !isName(e.Service):
		return invalid("service", e.Service)
	case !isName(e.Domain):
		return invalid("domain", e.Domain)
	case e.Slots <= 0 || e.Slots > maxSlots:
		return invalid("slots", e.Slots)
	case e.Seq > maxSeq:
		return invalid("sequence number", e.Seq)
	case len(e.SoftwareVersion) > maxNameBytes:
		return invalid("software version", e.SoftwareVersion)
	case e.TimeLeftMS < 0 || e.TimeLeftMS > maxTimeLeft.Milliseconds():
		return invalid("time left", e.TimeLeftMS)
	}
	return nil
}

// isName reports whether a text can be a name: it is not empty, not too long and has only
// characters that can be printed.
func isName(text string) bool {
	return text != "" && len(text) <= maxNameBytes && !strings.ContainsFunc(text, func(r rune) bool { return !unicode.IsPrint(r) })
}

func firstBytes(text string, n int) string { return text[:min(n, len(text))] }
