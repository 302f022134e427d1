package cmd

import (
	"github.com/joomcode/errorx"

	"github.com/foxtailspool/foxtailspool/administrator"
)

// Exit codes, documented for operators in rootHelp.
const (
	exitDone = iota
	exitDiffers
	exitUsage
	exitRefused
	exitRaced
	exitUnavailable
	exitUnknown
	exitFailed
)

// Errors is the namespace of this package's error types.
var Errors = errorx.NewNamespace("command")

// Error types that select the exit code of a command.
var (
	// Faulty means that a settings, table or certificate file or a flag is invalid.
	Faulty = Errors.NewType("faulty")
	// Differs means that "tables diff" found differences.
	Differs = Errors.NewType("differs")
	// Failed means that the node or the command stopped because of an error.
	Failed = Errors.NewType("failed")
)

var exitCodes = []struct {
	kind *errorx.Type
	code int
}{
	{Differs, exitDiffers},
	{Faulty, exitRefused},
	{administrator.Refused, exitRefused},
	{administrator.Malformed, exitRefused},
	{administrator.Raced, exitRaced},
	{administrator.Unavailable, exitUnavailable},
	{administrator.Unknown, exitUnknown},
	{Failed, exitFailed},
}

// exitCode returns the exit code for an error. An error without one of the types in
// exitCodes comes from cobra or from argument checks and means wrong usage.
func exitCode(err error) int {
	if err == nil {
		return exitDone
	}
	for _, row := range exitCodes {
		if errorx.IsOfType(err, row.kind) {
			return row.code
		}
	}
	return exitUsage
}

// errorText returns the error's message without the errorx type names, which are
// meant for programs.
func errorText(err error) string {
	typed := errorx.Cast(err)
	if typed == nil {
		return err.Error()
	}
	if typed.Cause() == nil {
		return typed.Message()
	}
	return typed.Message() + ": " + errorText(typed.Cause())
}
