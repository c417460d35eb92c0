package weighthttp

import (
	"context"
	"errors"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"golang.org/x/sync/errgroup"

	"github.com/boragelead/boragelead/api/weights"
	"github.com/boragelead/boragelead/internal/port"
	standin "github.com/boragelead/boragelead/standin/weights"
)

// Guards against concurrent downloads that each get the full rate of the store, and
// against a status that does not report the downloads to the planner.
func TestDownloadsShareTheRate(t *testing.T) {
	g := NewWithT(t)
	// 2 GB at 1 GB/s with a time scale of 0.1 take 200 ms.
	store, err := standin.Start(standin.Config{RateBytesPerS: 1e9, TimeScale: 0.1})
	g.Expect(err).NotTo(HaveOccurred())
	defer store.Close()
	store.Put(weights.ObjectName("m", "1", ""), 1e9)
	store.Put(weights.ObjectName("m", "1", "a/b"), 1e9)
	client := NewClient(store.BaseURL())
	ctx := context.Background()
	g.Expect(client.Object(ctx, "m@1+a/b")).To(Equal(weights.Object{Name: "m@1+a/b", Bytes: 1e9}))
	_, err = client.Object(ctx, "other")
	var storeErr *port.WeightStoreError
	g.Expect(errors.As(err, &storeErr)).To(BeTrue())
	g.Expect(storeErr.Status).To(Equal(404))

	startTime := time.Now()
	var downloads errgroup.Group
	for _, adapter := range []string{"", "a/b"} {
		downloads.Go(func() error {
			_, err := standin.Client{BaseURL: store.BaseURL()}.Fetch(ctx, "m", "1", adapter)
			return err
		})
	}
	g.Eventually(func() (weights.Status, error) { return client.Status(ctx) }).
		Should(And(HaveField("Streams", 2), HaveField("PendingBytes", BeNumerically(">", 1e9))))
	g.Expect(downloads.Wait()).To(Succeed())
	g.Expect(time.Since(startTime)).To(And(BeNumerically(">", 150*time.Millisecond), BeNumerically("<", time.Second)))
	g.Expect(store.ServedBytes()).To(Equal(int64(2e9)))
	g.Expect(client.Status(ctx)).To(Equal(weights.Status{RateBytesPerS: 1e9}))
}
