// Command foxtailspool routes language-model requests to separate prefill and
// decode pools, and plain services beside them.
package main

import (
	"context"
	"os"

	"github.com/foxtailspool/foxtailspool/cmd"
)

func main() {
	os.Exit(cmd.Execute(context.Background(), os.Args[1:], os.Stdout, os.Stderr))
}
