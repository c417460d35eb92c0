package settings_test

import (
	"errors"
	"os"
	"path/filepath"
	"strings"
	"testing"

	. "github.com/onsi/gomega"

	"github.com/boragelead/boragelead/internal/settings"
)

const entrySettings = `{"name":"e","role":"entry","ip":"10.0.0.1","peer_port":7600,"seeds":["10.0.0.2:1"],
"listen":{"callers":"10.0.0.1:1","ready":"10.0.0.1:2"},"bounds":{"lease_ms":500},"later_field":{"x":1}}`

// Guards against settings that are accepted although the daemon cannot run with
// them, and against refusing fields that a newer deployment sets.
func TestGatewaySettings(t *testing.T) {
	g := NewWithT(t)
	s, err := settings.ParseGateway([]byte(entrySettings))
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(s.Bounds.LeaseMS).To(Equal(500))
	g.Expect(s.Bounds.UsageWindowS).To(Equal(5.0))
	for field, replacement := range map[string][2]string{
		"name":      {`"name":"e"`, `"name":""`},
		"role":      {`"role":"entry"`, `"role":"odd"`},
		"ip":        {`"ip":"10.0.0.1"`, `"ip":""`},
		"peer_port": {`7600`, `76000`},
		"seeds":     {`["10.0.0.2:1"]`, `[]`},
		"listen":    {`"ready"`, `"other"`},
		"$":         {`{"name"`, `{name`},
	} {
		var settingsErr *settings.Error
		_, err := settings.ParseGateway([]byte(strings.Replace(entrySettings, replacement[0], replacement[1], 1)))
		g.Expect(errors.As(err, &settingsErr)).To(BeTrue(), field)
		g.Expect(settingsErr.Field).To(Equal(field))
	}
	_, err = settings.ParseGateway([]byte(strings.Replace(entrySettings, `"entry"`, `"state"`, 1)))
	g.Expect(err).To(MatchError(ContainSubstring("data_folder")))
}

// Guards against a missing settings file that is not reported.
func TestMissingGatewaySettings(t *testing.T) {
	g := NewWithT(t)
	var settingsErr *settings.Error
	_, err := settings.LoadGateway(filepath.Join(t.TempDir(), "none.json"))
	g.Expect(errors.As(err, &settingsErr)).To(BeTrue())
	path := filepath.Join(t.TempDir(), "good.json")
	g.Expect(os.WriteFile(path, []byte(entrySettings), 0o600)).To(Succeed())
	_, err = settings.LoadGateway(path)
	g.Expect(err).NotTo(HaveOccurred())
}

// Guards against roll-outs that are offered without a bound on the exposure, and against
// bounds that no roll-out can keep.
func TestRolloutBounds(t *testing.T) {
	g := NewWithT(t)
	parse := func(bounds string) (*settings.Gateway, error) {
		return settings.ParseGateway([]byte(strings.Replace(entrySettings, `"lease_ms":500`, bounds, 1)))
	}
	s, err := parse(`"lease_ms":500`)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(s.Bounds.OffersRollouts()).To(BeFalse())
	s, err = parse(`"exposure_share":0.1,"exposure_allowance":50,"rollback_ms":4000`)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(s.Bounds.OffersRollouts()).To(BeTrue())
	g.Expect(s.Bounds.ExposureShare).To(Equal(0.1))
	g.Expect(s.Bounds.ExposureAllowance).To(Equal(50.0))
	g.Expect(s.Bounds.RollbackMS).To(Equal(4000))
	for field, bounds := range map[string][]string{
		"bounds.exposure_share":     {`"exposure_share":1.1`, `"exposure_share":-0.1`},
		"bounds.exposure_allowance": {`"exposure_allowance":-1`},
		"bounds.rollback_ms":        {`"rollback_ms":-1`},
	} {
		for _, text := range bounds {
			var settingsErr *settings.Error
			_, err := parse(text)
			g.Expect(errors.As(err, &settingsErr)).To(BeTrue(), text)
			g.Expect(settingsErr.Field).To(Equal(field))
		}
	}
}
