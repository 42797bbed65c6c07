package report

// Question is what an operator wants explained.
type Question struct {
	Group string
	Model string
	Token string
}

// Explanation tells where a request would go now, and why.
type Explanation struct {
	Group  string `json:"group"`
	Model  string `json:"model"`
	Router string `json:"router"`
	Pool   string `json:"pool"`
	// Token tells what became of the chat token.
	Token  string  `json:"token"`
	Bound  float64 `json:"bound"`
	Mean   float64 `json:"mean_load"`
	Target float64 `json:"target_load"`
	// Origin and Chosen are the decision; Diverted is the chance that a request
	// is sent elsewhere because the group is above the target.
	Origin     string      `json:"origin"`
	Chosen     string      `json:"chosen_owner"`
	Engine     string      `json:"engine,omitempty"`
	Diverted   float64     `json:"diverted"`
	Candidates []Candidate `json:"candidates"`
	// Refusal is why there would be none.
	Refusal string `json:"refusal,omitempty"`
}

// Candidate is one group of engines.
type Candidate struct {
	Owner   string   `json:"owner"`
	Load    float64  `json:"load"`
	Chosen  bool     `json:"chosen"`
	Engines []string `json:"engines"`
}
