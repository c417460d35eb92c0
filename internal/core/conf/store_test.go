package conf_test

import (
	"crypto/sha256"
	"encoding/hex"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/boragelead/boragelead/internal/core/conf"
)

var _ = Describe("Store", func() {
	// Guards against a daemon that returns to an older generation because messages
	// arrive out of order.
	It("never installs a lower generation", func() {
		store := conf.NewStore()
		now := time.Unix(100, 0)
		Expect(store.Install(2, &conf.Document{Environment: "two"}, "d2", now)).To(BeTrue())
		Expect(store.Install(1, &conf.Document{Environment: "one"}, "d1", now)).To(BeFalse())
		Expect(store.Install(2, &conf.Document{Environment: "again"}, "d2", now)).To(BeFalse())
		Expect(store.Current().Document.Environment).To(Equal("two"))
	})

	// Guards against an index that accepts a wrong secret or keeps a revoked key.
	It("finds the same keys as the document and drops revoked keys", func() {
		secrets := []string{"one", "two", "three", "", "four"}
		doc := &conf.Document{Workspaces: []conf.Workspace{{Name: "a"}, {Name: "b"}}}
		for i, secret := range secrets[:3] {
			sum := sha256.Sum256([]byte(secret))
			w := &doc.Workspaces[i%2]
			w.Keys = append(w.Keys, conf.Key{SHA256: hex.EncodeToString(sum[:]), Caller: secret})
		}
		store := conf.NewStore()
		store.Install(1, doc, "", time.Unix(100, 0))
		for _, secret := range append(secrets, doc.Workspaces[0].Keys[0].SHA256) {
			workspace, key := doc.Authenticate(secret)
			indexedWorkspace, indexedKey := store.Current().Authenticate(secret)
			Expect(indexedWorkspace).To(BeIdenticalTo(workspace), secret)
			Expect(indexedKey).To(BeIdenticalTo(key), secret)
		}
		store.Install(2, &conf.Document{}, "", time.Unix(101, 0))
		workspace, _ := store.Current().Authenticate("one")
		Expect(workspace).To(BeNil())
	})
})
