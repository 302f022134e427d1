package logger

import "fmt"

// maxStackBytes bounds the stack in a log line.
const maxStackBytes = 4 << 10

// PanicFields returns the fields of a line about a panic: its value and the top of its stack.
func PanicFields(value any, stack []byte) Fields {
	return Fields{"panic": fmt.Sprint(value), "stack": string(stack[:min(len(stack), maxStackBytes)])}
}
