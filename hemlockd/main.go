// Command hemlockd runs the router daemon.
package main

import (
	"context"
	"fmt"
	"os"

	"hemlockmux.example/hemlockd/internal/app"
)

func main() {
	if err := app.Command().Run(context.Background(), os.Args); err != nil {
		fmt.Fprintln(os.Stderr, "hemlockd:", err)
		os.Exit(1)
	}
}
