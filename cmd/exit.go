package cmd

import (
	"github.com/joomcode/errorx"

	"github.com/foxtailspool/foxtailspool/administrator"
)

// The exit codes, as rootHelp explains them.
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

// The error types of commands.
var (
	// Faulty: a file that was checked has faults.
	Faulty = Errors.NewType("faulty")
	// Differs: two tables that were compared differ.
	Differs = Errors.NewType("differs")
	// Failed: the node or the command broke off.
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

// exitCode maps an error to its exit code. Errors of no known type come from
// cobra and mean wrong usage.
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

// message is the error's text without the names of error types, which are for
// programs.
func message(err error) string {
	typed := errorx.Cast(err)
	if typed == nil {
		return err.Error()
	}
	if typed.Cause() == nil {
		return typed.Message()
	}
	return typed.Message() + ": " + message(typed.Cause())
}
