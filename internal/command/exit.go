package command

import "errors"

// usageError marks an error that the caller can mend: exit code 2.
type usageError struct{ error }

// Unwrap returns what went wrong.
func (e usageError) Unwrap() error { return e.error }

// codeError carries an exit code of its own.
type codeError struct {
	error
	code int
}

// Unwrap returns what went wrong.
func (e codeError) Unwrap() error { return e.error }

// WithCode gives an error the exit code that the program ends with.
func WithCode(err error, code int) error { return codeError{error: err, code: code} }

func exitCode(err error) int {
	var usage usageError
	if errors.As(err, &usage) {
		return ExitUsage
	}
	var coded codeError
	if errors.As(err, &coded) {
		return coded.code
	}
	return ExitFailed
}
