// Command foxtailspool routes language-model requests to separate prefill and
// decode pools, and plain services beside them.
package main

import (
	"fmt"
	"os"
)

func main() {
	_, _ = fmt.Fprintln(os.Stdout, "foxtailspool")
}
