package cli

import (
	"errors"

	"github.com/boragecourse/boragecourse/internal/operatorapi"
	"github.com/boragecourse/boragecourse/internal/rules"
)

var exitByCode = map[operatorapi.Code]int{
	operatorapi.CodeInvalidFile: ExitInvalidFile,
	operatorapi.CodeRace:        ExitRace,
}

// exitCode maps the error of a command to the exit code of the tool.
func exitCode(err error) int {
	var exit *ExitError
	var file *rules.FileError
	var api *operatorapi.Error
	var unreachable *operatorapi.UnreachableError
	switch {
	case errors.As(err, &exit):
		return exit.Code
	case errors.As(err, &file):
		return ExitInvalidFile
	case errors.As(err, &unreachable):
		return ExitUnreachable
	case errors.As(err, &api):
		if code, ok := exitByCode[api.Code]; ok {
			return code
		}
	}
	return ExitFailure
}
