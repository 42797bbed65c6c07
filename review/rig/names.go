package rig

import (
	"strings"

	"github.com/croftyard/croftyard/platform"
)

// names are the headers that the platform's folder tells.
var names = platform.Dialect()

// header returns the name of another header of the users' pages.
func header(last string) string { return strings.TrimSuffix(names.AttemptID, "Attempt-Id") + last }

// SignatureHeader is that of a replica's answer.
const SignatureHeader = platform.SignatureHeader

// AttemptHeader and NotExecutedHeader are set in a replica's answers.
var AttemptHeader, NotExecutedHeader = names.AttemptID, names.NotExecuted
