package main

import (
	"github.com/pkg/errors"

	"github.com/landingtrail/landingtrail/connection/operator"
	"github.com/landingtrail/landingtrail/connection/operatorapi"
	"github.com/landingtrail/landingtrail/process/settings"
	"github.com/landingtrail/landingtrail/version/api"
)

// exitCode is the exit status of a command.
type exitCode int

// Exit codes, as --help and docs list them.
const (
	exitOK          exitCode = 0
	exitFailed      exitCode = 1
	exitUsage       exitCode = 2
	exitConflict    exitCode = 3
	exitNotAccepted exitCode = 4
	exitUnknown     exitCode = 5
)

const exitCodesHelp = `EXIT STATUS
  0  done
  1  failed
  2  bad usage, settings or objects; nothing was changed
  3  conflict with what stands now; nothing was changed
  4  surely not accepted (no quorum, or no member reached); nothing was changed
  5  outcome unknown: resend with the same operation ID`

// usageError is a fault of the command line: the field at fault and what is allowed.
type usageError struct {
	field   string
	message string
}

// Error words the fault.
func (e usageError) Error() string { return e.field + ": " + e.message }

// conflictError is a transaction that was refused because of what stands now.
type conflictError struct{ lines []string }

// Error words the conflict.
func (e conflictError) Error() string { return e.lines[0] }

// codeOf returns the exit code for a command's error.
func codeOf(err error) exitCode {
	var usage usageError
	var faults settings.Faults
	var conflict conflictError
	var refused *operator.RefusedError
	switch {
	case errors.As(err, &usage), errors.As(err, &faults), isFlagError(err):
		return exitUsage
	case errors.As(err, &conflict):
		return exitConflict
	case errors.As(err, &refused):
		return codeOfRefusal(refused)
	case errors.Is(err, operator.ErrNotAccepted):
		return exitNotAccepted
	case errors.Is(err, operator.ErrOutcomeUnknown):
		return exitUnknown
	}
	return exitFailed
}

func codeOfRefusal(refused *operator.RefusedError) exitCode {
	switch refused.Body.Code {
	case operatorapi.ErrorInvalidBody, operatorapi.ErrorBodyTooLarge:
		return exitUsage
	case operatorapi.ErrorRefused:
		return exitConflict
	}
	return exitFailed
}

// messageLines words an error, one fault a line.
func messageLines(err error) []string {
	var faults settings.Faults
	var conflict conflictError
	var refused *operator.RefusedError
	switch {
	case errors.As(err, &faults):
		return faultLines(faults)
	case errors.As(err, &conflict):
		return conflict.lines
	case errors.As(err, &refused) && len(refused.Body.Faults) > 0:
		return faultLines(refused.Body.Faults)
	}
	return []string{trimFlagError(err)}
}

func faultLines(faults []api.FieldFault) []string {
	var lines []string
	for _, fault := range faults {
		lines = append(lines, settings.FaultLine(fault))
	}
	return lines
}
