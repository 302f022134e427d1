package tabulator

import (
	"bytes"
	"fmt"

	"github.com/pelletier/go-toml/v2"
)

// FormatTOML encodes a table as operators edit it. ParseTOML decodes it.
func FormatTOML[T Routes | Pools](table T) []byte {
	var text bytes.Buffer
	if err := toml.NewEncoder(&text).Encode(table); err != nil {
		panic(fmt.Sprintf("a table cannot be written: %v", err))
	}
	return text.Bytes()
}
