// Command hemlockctl is the operators' command-line client of hemlockmux.
package main

import (
	"context"
	"os"

	"hemlockmux.example/hemlockctl/internal/app"
)

func main() {
	os.Exit(app.Run(context.Background(), os.Args, os.Stdout, os.Stderr))
}
