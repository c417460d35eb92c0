package main

import (
	"os"
	"path/filepath"
	"strings"
	"testing"

	. "github.com/onsi/gomega"
	"go.uber.org/zap"
	"go.uber.org/zap/zaptest/observer"

	"github.com/boragelead/boragelead/internal/settings"
)

const gatewaySettings = `{"name": "e", "role": "entry", "failure_domain": "a", "domains": ["a"], "ip": "127.0.0.1", "peer_port": 7160,
	"listen": {"callers": "127.0.0.1:1", "ready": "127.0.0.1:2"}, "seeds": [%SEEDS%]}`

// Guards against an entry that never learns new seeds, and against one that
// stops, or loses its seeds, because the file is being written.
func TestSettingsAreReadAgain(t *testing.T) {
	g := NewWithT(t)
	path := filepath.Join(t.TempDir(), "settings.json")
	write := func(text string) { g.Expect(os.WriteFile(path, []byte(text), 0o600)).To(Succeed()) }
	withSeeds := func(seeds string) string { return strings.Replace(gatewaySettings, "%SEEDS%", seeds, 1) }
	t.Setenv(settingsVariable, path)
	write(withSeeds(`"10.0.0.1:1"`))
	config, err := settings.LoadGateway(path)
	g.Expect(err).NotTo(HaveOccurred())
	core, logs := observer.New(zap.InfoLevel)
	d := &gatewayDaemon{config: config, log: zap.New(core), seeds: config.Seeds}
	var taken [][]string
	take := func(seeds []string) { taken = append(taken, seeds) }

	d.reload(take, false)
	g.Expect(taken).To(BeEmpty())
	g.Expect(logs.Len()).To(BeZero(), "nothing changed")
	write(withSeeds(`"10.0.0.2:1", "10.0.0.3:1"`))
	d.reload(take, false)
	g.Expect(taken).To(Equal([][]string{{"10.0.0.2:1", "10.0.0.3:1"}}))
	write(`{"name": "e", "seeds": [`)
	for range 5 {
		d.reload(take, false)
	}
	g.Expect(taken).To(HaveLen(1))
	g.Expect(logs.FilterLevelExact(zap.WarnLevel).Len()).To(Equal(1), "one line while the file stays broken")
	d.reload(take, true)
	g.Expect(logs.FilterLevelExact(zap.WarnLevel).Len()).To(Equal(2))
	write(withSeeds(`"10.0.0.2:1", "10.0.0.3:1"`))
	d.reload(take, true)
	g.Expect(taken).To(HaveLen(1))
	g.Expect(logs.FilterMessage("Settings reloaded.").Len()).To(Equal(2))
}
