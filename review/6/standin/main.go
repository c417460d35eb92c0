//go:build review2

// Command standin starts a small deployment with the project's own programs on loopback
// addresses, plays one case of the review against it and tells whether the rule held.
package main

import (
	"fmt"
	"os"
	"time"
)

// Exit statuses.
const (
	held      = 0
	broken    = 1
	notPlayed = 2
)

// cases are the cases by name. Each returns an exit status.
var cases = map[string]func(s *system, trouble bool) int{}

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Println("usage: standin CASE RECORD")
		os.Exit(notPlayed)
	}
	file, err := os.Create(os.Args[2])
	if err != nil {
		fmt.Println(err)
		os.Exit(notPlayed)
	}
	rec := &record{file: file, start: time.Now()}
	s, err := newSystem(rec)
	if err != nil {
		rec.printf("not played: %v", err)
		os.Exit(notPlayed)
	}
	trouble := os.Getenv("TROUBLE") != "0"
	rec.printf("case %s, trouble %t", os.Args[1], trouble)
	status := play(s, cases[os.Args[1]], trouble)
	rec.printf("exit %d", status)
	_ = file.Close()
	os.Exit(status)
}

// play plays a case and ends all processes that it started, also after a panic.
func play(s *system, run func(*system, bool) int, trouble bool) (status int) {
	defer s.stop()
	defer func() {
		if p := recover(); p != nil {
			s.rec.printf("not played: %v", p)
			status = notPlayed
		}
	}()
	return run(s, trouble)
}
