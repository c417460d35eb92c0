package settings_test

import (
	"encoding/json"
	"os"
	"path/filepath"
	"reflect"
	"strings"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/boragelead/boragelead/internal/jsoncheck"
	"github.com/boragelead/boragelead/internal/settings"
)

func TestSettings(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "settings")
}

func validSettings() string {
	return `{"name":"d1","failure_domain":"a","listen":{"callers":"127.0.0.1:1","endpoints":"127.0.0.1:2","peers":"127.0.0.1:3","admin":"127.0.0.1:4"},
	"admin_key_sha256":"` + strings.Repeat("ab", 32) + `"}`
}

// parseWith parses the valid settings with one field added or replaced.
func parseWith(field, value string) error {
	var fields map[string]json.RawMessage
	Expect(json.Unmarshal([]byte(validSettings()), &fields)).To(Succeed())
	fields[field] = json.RawMessage(value)
	data, err := json.Marshal(fields)
	Expect(err).NotTo(HaveOccurred())
	_, err = settings.Parse(data)
	return err
}

var _ = Describe("Parse", func() {
	// Guards against a checker that refuses settings it should accept.
	It("accepts minimal settings and fills in defaults", func() {
		s, err := settings.Parse([]byte(validSettings()))
		Expect(err).NotTo(HaveOccurred())
		Expect(s.Limits.MaxStreams).To(Equal(settings.DefaultMaxStreams))
	})

	// Guards against a daemon that starts despite a mistake in its settings and
	// fails because of it later.
	DescribeTable("names the wrong field",
		func(field, value, path string) {
			var settingsErr *settings.Error
			Expect(parseWith(field, value)).To(BeAssignableToTypeOf(settingsErr))
			Expect(parseWith(field, value).(*settings.Error).Field).To(Equal(path))
		},
		Entry("unknown field", "nmae", `"x"`, "$.nmae"),
		Entry("wrong type", "drain_wait_ms", `"2s"`, "$.drain_wait_ms"),
		Entry("wrong case of a field", "Name", `"x"`, "$.Name"),
		Entry("bad name", "name", `"a b"`, "$.name"),
		Entry("missing address", "listen", `{"callers":"127.0.0.1:1"}`, "$.listen.endpoints"),
		Entry("host name", "listen", `{"callers":"localhost:1"}`, "$.listen.callers"),
		Entry("unreachable peer address", "listen", `{"callers":"127.0.0.1:1","endpoints":"127.0.0.1:2","peers":"0.0.0.0:3","admin":"127.0.0.1:4"}`, "$.listen.peers"),
		Entry("address used twice", "listen", `{"callers":"127.0.0.1:1","endpoints":"127.0.0.1:1"}`, "$.listen.endpoints"),
		Entry("replica without folder", "replica", `{}`, "$.data_folder"),
		Entry("missing folder", "data_folder", `"/no/such/folder"`, "$.data_folder"),
		Entry("unwritable folder", "data_folder", `"/proc/self"`, "$.data_folder"),
		Entry("file as folder", "data_folder", `"/etc/hostname"`, "$.data_folder"),
		Entry("duplicate peer name", "peers", `[{"name":"b","address":"10.0.0.1:1"},{"name":"b","address":"10.0.0.2:1"}]`, "$.peers[1].name"),
		Entry("duplicate peer address", "peers", `[{"name":"b","address":"10.0.0.1:1"},{"name":"c","address":"10.0.0.1:1"}]`, "$.peers[1].address"),
		Entry("unknown level", "log", `{"level":"loud"}`, "$.log.level"),
		Entry("unknown format", "log", `{"format":"xml"}`, "$.log.format"),
		Entry("ratio", "trace", `{"sample_ratio":2}`, "$.trace.sample_ratio"),
		Entry("collector by host name", "trace", `{"otlp_url":"http://collector:4318"}`, "$.trace.otlp_url"),
		Entry("no streams", "limits", `{"max_streams":0}`, "$.limits.max_streams"),
		Entry("too little memory", "limits", `{"max_memory_bytes":1000}`, "$.limits.max_memory_bytes"),
		Entry("missing key file", "peer_key_file", `"/no/such"`, "$.peer_key_file"),
		Entry("missing certificate", "tls", `{"cert_file":"/no/such","key_file":"/no/such"}`, "$.tls.cert_file"),
		Entry("short key hash", "admin_key_sha256", `"ab"`, "$.admin_key_sha256"),
		Entry("drain bound below the wait", "drain_timeout_ms", `10`, "$.drain_timeout_ms"),
	)

	// Guards against a duplicate key whose second value silently replaces the first.
	It("refuses duplicate keys", func() {
		_, err := settings.Parse([]byte(strings.Replace(validSettings(), `"name"`, `"name":"x","name"`, 1)))
		Expect(err).To(MatchError(ContainSubstring("$.name: the key is given twice")))
	})

	// Guards against a bootstrap list that would start a cluster without this voter.
	It("requires the own replica in the bootstrap list", func() {
		s := settings.Default()
		Expect(json.Unmarshal([]byte(validSettings()), s)).To(Succeed())
		s.DataFolder = GinkgoT().TempDir()
		s.Replica = &settings.Replica{Bootstrap: []settings.Peer{{Name: "r2", Address: "10.0.0.1:1"}}}
		Expect(s.Validate()).To(MatchError(ContainSubstring("$.replica.bootstrap")))
		s.Replica.Bootstrap[0].Name = s.Name
		Expect(s.Validate()).To(Succeed())
	})
})

var _ = Describe("documentation", func() {
	// Guards against a field that the documentation does not explain.
	It("documents every field", func() {
		page, err := os.ReadFile("../../docs/settings.md")
		Expect(err).NotTo(HaveOccurred())
		for _, path := range jsoncheck.Paths(reflect.TypeFor[settings.Settings]()) {
			Expect(string(page)).To(ContainSubstring("\n| `"+path+"` |"), path)
		}
	})

	// Guards against example files that are no longer valid settings.
	It("has examples that are valid", func() {
		examples, err := filepath.Abs("../../examples/settings")
		Expect(err).NotTo(HaveOccurred())
		files, err := filepath.Glob(filepath.Join(examples, "*.json"))
		Expect(err).NotTo(HaveOccurred())
		Expect(files).To(HaveLen(3))
		GinkgoT().Chdir(GinkgoT().TempDir())
		Expect(os.Mkdir("data", 0o700)).To(Succeed())
		for _, file := range files {
			_, err := settings.Load(file)
			Expect(err).NotTo(HaveOccurred(), file)
		}
	})
})
