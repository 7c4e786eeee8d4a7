// Command tool helps the scripts of the review. It finds free ports, stands in for clients that send
// requests over kept connections, and for the part of the platform that kills a process above its
// memory limit. It knows no names of the platform: scripts pass them as flags.
package main

import (
	"fmt"
	"net"
	"os"
	"strconv"
)

func main() {
	commands := map[string]func(args []string) error{"ports": ports, "clients": clients, "watch": watch, "desk": desk}
	if len(os.Args) < 2 || commands[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: tool ports|clients|watch|desk ...")
		os.Exit(2)
	}
	if err := commands[os.Args[1]](os.Args[2:]); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(2)
	}
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
