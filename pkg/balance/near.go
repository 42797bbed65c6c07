package balance

// smallTokens is up to how many shared tokens a prompt's parts are kept in each
// data centre: a copy of them costs less than what a cut makes late or breaks of
// the streams that cross it.
const smallTokens = 1024

// sharedTokens is the size of the parts of a prompt that others have too.
func sharedTokens(parts []Part) int {
	tokens := 0
	for _, part := range shared(parts) {
		tokens += part.Tokens
	}
	return tokens
}

// keptNear tells whether a prompt is kept in each data centre, not at one home of
// the whole fleet.
func keptNear(parts []Part) bool {
	return len(parts) > 1 && sharedTokens(parts) <= smallTokens
}
