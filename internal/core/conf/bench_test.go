package conf_test

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"os"
	"testing"
	"time"

	"github.com/boragelead/boragelead/internal/core/conf"
)

// largeDocument returns the example document with additional workspaces of three keys each.
func largeDocument(b *testing.B, workspaces int) []byte {
	data, err := os.ReadFile(examples[0])
	if err != nil {
		b.Fatal(err)
	}
	doc, err := conf.Parse(data)
	if err != nil {
		b.Fatal(err)
	}
	for i := range workspaces {
		w := doc.Workspaces[0]
		w.Name = fmt.Sprint("w", i)
		w.Keys = nil
		for k := range 3 {
			sum := sha256.Sum256([]byte(fmt.Sprint("key", i, ".", k)))
			w.Keys = append(w.Keys, conf.Key{SHA256: hex.EncodeToString(sum[:])})
		}
		doc.Workspaces = append(doc.Workspaces, w)
	}
	data, err = json.Marshal(doc)
	if err != nil {
		b.Fatal(err)
	}
	return data
}

func BenchmarkParse(b *testing.B) {
	for _, workspaces := range []int{0, 1000} {
		data := largeDocument(b, workspaces)
		b.Run(fmt.Sprint("workspaces=", workspaces), func(b *testing.B) {
			b.SetBytes(int64(len(data)))
			for b.Loop() {
				if _, err := conf.Parse(data); err != nil {
					b.Fatal(err)
				}
			}
		})
	}
}

func BenchmarkAuthenticate(b *testing.B) {
	for _, workspaces := range []int{0, 1000} {
		doc, err := conf.Parse(largeDocument(b, workspaces))
		if err != nil {
			b.Fatal(err)
		}
		b.Run(fmt.Sprint("workspaces=", workspaces), func(b *testing.B) {
			for b.Loop() {
				doc.Authenticate("studio")
			}
		})
		store := conf.NewStore()
		store.Install(1, doc, "", time.Now())
		b.Run(fmt.Sprint("indexed/workspaces=", workspaces), func(b *testing.B) {
			for b.Loop() {
				store.Current().Authenticate("key0.0")
			}
		})
	}
}
