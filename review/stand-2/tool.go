// Command tool helps the scripts of the review. It finds free ports, and it stands in for model servers
// that take orders and for clients of streams. The names of the platform come from names.json beside it,
// whose path is in the variable REVIEW_NAMES.
package main

import (
	"encoding/json"
	"fmt"
	"net"
	"os"
	"strconv"
)

// names are what the platform calls its calls and headers.
type names struct {
	RowsTx, Report, Order, Handle, HoldTake, HoldDrop                                                       string
	Attempt, Deadline, Expect, Instance, Seal, NotRun, Stage, Source, Tokens, Parts, Hint, Model, LastEvent string
}

func main() {
	commands := map[string]func(args []string) error{"ports": ports, "engines": engines, "streams": streams}
	if len(os.Args) < 2 || commands[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: tool ports|engines|streams ...")
		os.Exit(2)
	}
	if err := commands[os.Args[1]](os.Args[2:]); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(2)
	}
}

// loadNames reads the names.
func loadNames() (names, error) {
	var n names
	raw, err := os.ReadFile(os.Getenv("REVIEW_NAMES"))
	if err != nil {
		return n, err
	}
	err = json.Unmarshal(raw, &n)
	return n, err
}

// ports prints as many ports as asked for that are free on all addresses.
func ports(args []string) error {
	n, err := strconv.Atoi(args[0])
	if err != nil {
		return err
	}
	for range n {
		listener, err := net.Listen("tcp4", "0.0.0.0:0")
		if err != nil {
			return err
		}
		defer func() { _ = listener.Close() }()
		fmt.Printf("%d ", listener.Addr().(*net.TCPAddr).Port)
	}
	fmt.Println()
	return nil
}
