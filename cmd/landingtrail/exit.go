package main

import (
	"github.com/pkg/errors"

	"github.com/landingtrail/landingtrail/cmd/internal/cli"
	"github.com/landingtrail/landingtrail/connection/operator"
	"github.com/landingtrail/landingtrail/connection/operatorapi"
	"github.com/landingtrail/landingtrail/process/settings"
	"github.com/landingtrail/landingtrail/version/api"
)

// Exit codes of the operator's commands, beside those of every program.
const (
	exitConflict    cli.ExitCode = 3
	exitNotAccepted cli.ExitCode = 4
	exitUnknown     cli.ExitCode = 5
)

const exitCodesHelp = `EXIT STATUS
  0  done
  1  failed
  2  bad usage, settings or objects; nothing was changed
  3  conflict with what stands now; nothing was changed
  4  surely not accepted (no quorum, or no member reached); nothing was changed
  5  outcome unknown: resend with the same operation ID`

// conflictError is a transaction that was refused because of what stands now.
type conflictError struct{ lines []string }

// Error words the conflict.
func (e conflictError) Error() string { return e.lines[0] }

// judge turns a command's error into its lines and exit code.
func judge(err error) ([]string, cli.ExitCode) {
	var faults settings.Faults
	var conflict conflictError
	var refused *operator.RefusedError
	switch {
	case errors.As(err, &faults):
		return faultLines(faults), cli.ExitUsage
	case errors.As(err, &conflict):
		return conflict.lines, exitConflict
	case errors.As(err, &refused):
		return judgeRefusal(refused)
	case errors.Is(err, operator.ErrNotAccepted):
		return []string{err.Error()}, exitNotAccepted
	case errors.Is(err, operator.ErrOutcomeUnknown):
		return []string{err.Error()}, exitUnknown
	}
	return cli.JudgeUsage(err)
}

func judgeRefusal(refused *operator.RefusedError) ([]string, cli.ExitCode) {
	lines := faultLines(refused.Body.Faults)
	if len(lines) == 0 {
		lines = []string{refused.Error()}
	}
	switch refused.Body.Code {
	case operatorapi.ErrorInvalidBody, operatorapi.ErrorBodyTooLarge:
		return lines, cli.ExitUsage
	case operatorapi.ErrorRefused, operatorapi.ErrorRemoved:
		return lines, exitConflict
	}
	return lines, cli.ExitFailed
}

func faultLines(faults []api.FieldFault) []string {
	var lines []string
	for _, fault := range faults {
		lines = append(lines, settings.FaultLine(fault))
	}
	return lines
}
