package suspect

import (
	"fmt"
	"testing"
	"time"
)

// BenchmarkCheckPart measures the check of one prompt part: without records, of a part
// without a record among many, and of a quarantined part, whose crashes are compared
// with those of all other suspects.
func BenchmarkCheckPart(b *testing.B) {
	for _, records := range []int{0, 500, 8000} {
		tracker := NewTracker(partConfig)
		now := epoch
		for crash := range 3 {
			now = now.Add(waveWindow + time.Millisecond)
			running := []Fingerprint{deadly}
			for i := range records / 3 {
				running = append(running, testFingerprint(crash*records+i))
			}
			if records > 0 {
				tracker.Crash(fmt.Sprint("e", crash), 1, running, now)
			}
		}
		for name, part := range map[string]Fingerprint{"sound": topic, "deadly": deadly} {
			b.Run(fmt.Sprint(records, "/", name), func(b *testing.B) {
				for b.Loop() {
					_ = tracker.CheckPart(part, now)
				}
			})
		}
	}
}

// BenchmarkPartFingerprint measures what each shared prompt part adds to a request.
func BenchmarkPartFingerprint(b *testing.B) {
	for b.Loop() {
		_ = NewPartFingerprint("boragelead-pool", 12345)
	}
}

// BenchmarkSurvived measures what each complete run of two shared parts adds.
func BenchmarkSurvived(b *testing.B) {
	tracker := NewTracker(partConfig)
	parts := []Fingerprint{firstPart, topic}
	for b.Loop() {
		tracker.Survived(parts, epoch)
	}
}
