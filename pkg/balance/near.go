package balance

// smallPromptTokens is up to how many shared tokens a prompt's parts are kept in each
// data centre: a copy of them costs less than what a cut makes late or breaks of
// the streams that cross it.
const smallPromptTokens = 1024

// sharedTokenCount is the size of the parts of a prompt that others have too.
func sharedTokenCount(parts []Part) int {
	tokens := 0
	for _, part := range sharedParts(parts) {
		tokens += part.Tokens
	}
	return tokens
}

// keptPerDataCentre tells whether a prompt is kept in each data centre, not at one home of
// the whole fleet.
func keptPerDataCentre(parts []Part) bool {
	return len(parts) > 1 && sharedTokenCount(parts) <= smallPromptTokens
}
