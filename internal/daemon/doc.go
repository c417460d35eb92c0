// Package daemon assembles one daemon from its settings: it builds the
// components, opens the listeners and shuts everything down in order.
package daemon
