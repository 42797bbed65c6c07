package balance

import "slices"

// smallTokens is up to how many shared tokens a prompt's parts are kept in each
// data centre: a copy of them costs less than what a cut makes late or breaks of
// the streams that cross it. Measured with 0, 1,024 and 3,000 tokens, and with two
// data centres for larger parts, in docs/design/decisions.md.
const smallTokens = 1024

// sharedTokens is the size of the parts of a prompt that others have too.
func sharedTokens(parts []Part) int {
	tokens := 0
	for _, part := range shared(parts) {
		tokens += part.Tokens
	}
	return tokens
}

// near returns the engines that a prompt is kept at in the router's own data
// centre, or none if it is kept at one home of the whole fleet.
func near(q Question, list []*replica) []*replica {
	if len(q.Parts) < 2 || sharedTokens(q.Parts) > smallTokens {
		return nil
	}
	return slices.DeleteFunc(slices.Clone(list), func(r *replica) bool { return r.DataCentre != q.DataCentre })
}
