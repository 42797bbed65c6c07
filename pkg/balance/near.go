package balance

// smallPromptTokens is the number of shared tokens up to which a prompt's parts are kept
// in each data centre: copying them costs less than the streams between data centres that
// a network partition delays or breaks.
const smallPromptTokens = 1024

// sharedTokenCount returns the size of the parts of a prompt that other requests have
// too.
func sharedTokenCount(parts []Part) int {
	tokens := 0
	for _, part := range sharedParts(parts) {
		tokens += part.Tokens
	}
	return tokens
}

// keptPerDataCentre reports whether a prompt is kept in each data centre instead of at
// one home for the whole fleet.
func keptPerDataCentre(parts []Part) bool {
	return len(parts) > 1 && sharedTokenCount(parts) <= smallPromptTokens
}
