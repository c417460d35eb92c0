package controller

import (
	"net/url"
	"strconv"
	"strings"

	"github.com/boragelead/boragelead/internal/core/fleet"
)

// tokenPrefix marks the VMs that the controller started. It ignores all other VMs.
const tokenPrefix = "boragelead"

const (
	marketReclaimable = "reclaimable"
	marketOnDemand    = "on-demand"
)

// tokenParts is the number of parts of a client token.
const tokenParts = 6

// token is the client token with which a VM is started.
type token struct {
	model   string
	pool    fleet.Pool
	ordinal int
}

// String returns the token in the form that the cloud stores.
func (t token) String() string {
	market := marketOnDemand
	if t.pool.Reclaimable {
		market = marketReclaimable
	}
	return strings.Join([]string{
		tokenPrefix, url.PathEscape(t.model), url.PathEscape(t.pool.FailureDomain),
		url.PathEscape(t.pool.Class), market, strconv.Itoa(t.ordinal),
	}, "/")
}

// parseToken returns false for a token that no controller made.
func parseToken(text string) (token, bool) {
	parts := strings.Split(text, "/")
	if len(parts) != tokenParts || parts[0] != tokenPrefix {
		return token{}, false
	}
	for i := 1; i <= 3; i++ {
		part, err := url.PathUnescape(parts[i])
		if err != nil {
			return token{}, false
		}
		parts[i] = part
	}
	ordinal, err := strconv.Atoi(parts[5])
	if err != nil || parts[4] != marketReclaimable && parts[4] != marketOnDemand {
		return token{}, false
	}
	pool := fleet.Pool{FailureDomain: parts[2], Class: parts[3], Reclaimable: parts[4] == marketReclaimable}
	return token{model: parts[1], pool: pool, ordinal: ordinal}, true
}
