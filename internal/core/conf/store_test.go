package conf_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/boragelead/boragelead/internal/core/conf"
)

var _ = Describe("Store", func() {
	// Guards against a daemon that goes back to an older configuration when messages overtake each other.
	It("never goes back to a lower generation", func() {
		store := conf.NewStore()
		now := time.Unix(100, 0)
		Expect(store.Install(2, &conf.Document{Environment: "two"}, "d2", now)).To(BeTrue())
		Expect(store.Install(1, &conf.Document{Environment: "one"}, "d1", now)).To(BeFalse())
		Expect(store.Install(2, &conf.Document{Environment: "again"}, "d2", now)).To(BeFalse())
		Expect(store.Current().Document.Environment).To(Equal("two"))
	})
})
