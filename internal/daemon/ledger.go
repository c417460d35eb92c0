package daemon

import (
	"github.com/boragelead/boragelead/internal/cluster"
	"github.com/boragelead/boragelead/internal/port"
)

type ledgerRole struct{}

func (d *Daemon) newLedgerRole() (*ledgerRole, error) { return &ledgerRole{}, nil }
func (l *ledgerRole) start()                          {}
func (l *ledgerRole) close()                          {}
func (l *ledgerRole) addresses() []string             { return nil }
func (l *ledgerRole) source() cluster.Source          { return nil }
func (l *ledgerRole) isLeader() bool                  { return false }
func (l *ledgerRole) client() port.Ledger             { return nil }
