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

// Guards against an entry that ignores new seeds, and against one that stops or loses
// its seeds because it reads the settings file while the file is being written.
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
	var applied [][]string
	setSeeds := func(seeds []string) { applied = append(applied, seeds) }

	d.reload(setSeeds, false)
	g.Expect(applied).To(BeEmpty())
	g.Expect(logs.Len()).To(BeZero(), "nothing changed")
	write(withSeeds(`"10.0.0.2:1", "10.0.0.3:1"`))
	d.reload(setSeeds, false)
	g.Expect(applied).To(Equal([][]string{{"10.0.0.2:1", "10.0.0.3:1"}}))
	write(`{"name": "e", "seeds": [`)
	for range 5 {
		d.reload(setSeeds, false)
	}
	g.Expect(applied).To(HaveLen(1))
	g.Expect(logs.FilterLevelExact(zap.WarnLevel).Len()).To(Equal(1), "one warning while the file stays invalid")
	d.reload(setSeeds, true)
	g.Expect(logs.FilterLevelExact(zap.WarnLevel).Len()).To(Equal(2))
	write(withSeeds(`"10.0.0.2:1", "10.0.0.3:1"`))
	d.reload(setSeeds, true)
	g.Expect(applied).To(HaveLen(1))
	g.Expect(logs.FilterMessage("Settings reloaded.").Len()).To(Equal(2))
}
