package stand

import (
	"fmt"
	"os"
	"testing"
	"time"
)

// longest is how long a script may take.
const longest = 118 * time.Second

// cases holds the judges by name. A judge reports whether the rule was broken.
var cases = map[string]func(rec *recorder, dir string, trouble bool) bool{}

// TestMain makes this test binary a program: "stand CASE DIR".
func TestMain(*testing.M) {
	if len(os.Args) != 3 {
		fmt.Fprintln(os.Stderr, "usage: stand CASE DIR")
		os.Exit(2)
	}
	trouble := os.Getenv("TROUBLE") != "0"
	run, ok := cases[os.Args[1]]
	if !ok {
		fmt.Fprintln(os.Stderr, "no such case")
		os.Exit(2)
	}
	time.AfterFunc(longest, func() { giveUp("the script takes too long") })
	dir, err := os.MkdirTemp("", "review")
	must(err)
	rec := newRecorder(os.Args[2])
	broken := run(rec, dir, trouble)
	stopDaemons()
	_ = os.RemoveAll(dir)
	if broken {
		os.Exit(1)
	}
	os.Exit(0)
}
