package placement

import (
	"math"
	"math/rand/v2"
	"slices"
)

// Request describes a request to the edge that places it.
type Request struct {
	// Chat identifies the chat and places one that has neither token nor prefix.
	Chat uint64
	// Prefix is the hash of a shared prompt prefix, or 0.
	Prefix uint64
	// PrefixShare is the prefix's share of the pool's traffic, 0 to 1.
	PrefixShare float64
	// Engine is the index of the token's engine in the layout, or None.
	Engine int
	// EligibleGroups lists the groups that can serve the request, such as those with
	// its adapter; nil means all.
	EligibleGroups []int
}

// Loads holds the requests queued and in flight per engine of each group, entry i
// for Layout.Groups[i], as the edge knows them: one or two digest periods old. A
// negative entry is unknown and counts as the mean.
type Loads []float64

// Origin tells why a group was chosen.
type Origin uint8

// Origins of a choice, in the order in which they are tried.
const (
	FromNothing Origin = iota
	FromToken
	FromPrefix
	FromChat
	FromDiversion
)

var originNames = [...]string{"nothing", "token", "prefix", "chat", "diversion"}

// String returns the name used in metrics and in the state dump.
func (o Origin) String() string { return originNames[o] }

// Choice is the edge's choice of a group.
type Choice struct {
	// Group is an index into Layout.Groups, or None when there are no engines.
	Group int
	// Engine is the token's engine when it is in Group, else None.
	Engine int
	// Origin tells why the group was chosen.
	Origin Origin
}

// MeanLoad returns the mean load per engine over all groups with known load.
func (l *Layout) MeanLoad(loads Loads) float64 {
	var sum, engines float64
	for g, load := range loads {
		if load < 0 {
			continue
		}
		n := float64(len(l.Groups[g].Engines))
		sum += load * n
		engines += n
	}
	if engines == 0 {
		return 0
	}
	return sum / engines
}

// Choose picks the group for a request. bound is the operator's load factor c:
// the multiple of the mean load that no group should exceed.
//
// A group above the bound is not avoided outright. The loads are stale, and every
// edge reads the same ones, so all edges would move their requests at once. Each
// request is diverted with probability 1 - target/load, which in total diverts only
// the excess.
func (l *Layout) Choose(req Request, loads Loads, bound float64, rnd *rand.Rand) Choice {
	choice := l.homeGroup(req, loads)
	if choice.Group == None {
		return choice
	}
	mean := l.MeanLoad(loads)
	target := max(bound*mean, mean+1)
	load := loadOf(loads, choice.Group, mean)
	if load <= target {
		return choice
	}
	if rnd.Float64() >= 1-target/load {
		return choice
	}
	return l.divert(choice, req.EligibleGroups, loads, mean, rnd)
}

// homeGroup returns the group a request would go to if no group were overloaded.
func (l *Layout) homeGroup(req Request, loads Loads) Choice {
	if len(l.Groups) == 0 {
		return Choice{Group: None, Engine: None}
	}
	if req.EligibleGroups != nil {
		return l.homeAmongEligible(req)
	}
	if req.Engine != None {
		return Choice{Group: l.GroupOf[req.Engine], Engine: req.Engine, Origin: FromToken}
	}
	if req.Prefix != 0 {
		return Choice{Group: l.prefixGroup(req, loads), Engine: None, Origin: FromPrefix}
	}
	return Choice{Group: l.GroupForKey(req.Chat), Engine: None, Origin: FromChat}
}

// homeAmongEligible is homeGroup for a request that only some groups can serve. They
// are few, so requests with a shared prefix meet there without spreading by prefix.
func (l *Layout) homeAmongEligible(req Request) Choice {
	if req.Engine != None && slices.Contains(req.EligibleGroups, l.GroupOf[req.Engine]) {
		return Choice{Group: l.GroupOf[req.Engine], Engine: req.Engine, Origin: FromToken}
	}
	best := Choice{Group: None, Engine: None, Origin: FromChat}
	bestScore := -1.0
	for _, g := range req.EligibleGroups {
		weight := float64(len(l.Groups[g].Engines))
		if s := weightedScore(req.Chat, l.Groups[g].ID, weight); s > bestScore {
			best.Group = g
			bestScore = s
		}
	}
	return best
}

// SpreadSize returns the number of groups over which to spread a prefix with this
// share of the traffic: twice its share, plus two so that there is a choice.
func SpreadSize(share float64, groups int) int {
	return min(groups, int(math.Ceil(2*share*float64(groups)))+2)
}

// prefixGroup returns the less loaded of two groups in the prefix's set. The chat
// determines the two.
func (l *Layout) prefixGroup(req Request, loads Loads) int {
	var space [maxSpread]int
	set := l.spreadSet(req.Prefix, SpreadSize(req.PrefixShare, len(l.Groups)), &space)
	pair := score(req.Prefix, req.Chat)
	first := set[pair%uint64(len(set))]
	second := set[(pair>>32)%uint64(len(set))]
	mean := l.MeanLoad(loads)
	if loadOf(loads, second, mean) < loadOf(loads, first, mean) {
		return second
	}
	return first
}

// divert picks the less loaded of two random groups (power of two choices). Unlike the
// least loaded of all groups, it differs between edges.
func (l *Layout) divert(from Choice, eligible []int, loads Loads, mean float64, rnd *rand.Rand) Choice {
	first := l.otherGroup(from.Group, eligible, rnd)
	second := l.otherGroup(from.Group, eligible, rnd)
	if first == None || second == None {
		return from
	}
	if loadOf(loads, second, mean) < loadOf(loads, first, mean) {
		first = second
	}
	if loadOf(loads, first, mean) >= loadOf(loads, from.Group, mean) {
		return from
	}
	return Choice{Group: first, Engine: None, Origin: FromDiversion}
}

// Reroute picks another group for a request that the owner of group from could not
// place because all of its engines are at the bound.
func (l *Layout) Reroute(from int, eligible []int, loads Loads, rnd *rand.Rand) Choice {
	current := Choice{Group: from, Engine: None, Origin: FromNothing}
	return l.divert(current, eligible, loads, l.MeanLoad(loads), rnd)
}

// otherGroup returns a random group other than excluded, or None.
func (l *Layout) otherGroup(excluded int, eligible []int, rnd *rand.Rand) int {
	if eligible != nil {
		at := slices.Index(eligible, excluded)
		if at < 0 || len(eligible) < 2 {
			return None
		}
		return eligible[randomOther(len(eligible), at, rnd)]
	}
	if len(l.Groups) < 2 {
		return None
	}
	return randomOther(len(l.Groups), excluded, rnd)
}

// randomOther returns a random number below n other than excluded.
func randomOther(n, excluded int, rnd *rand.Rand) int {
	i := rnd.IntN(n - 1)
	if i >= excluded {
		i++
	}
	return i
}

func loadOf(loads Loads, group int, mean float64) float64 {
	if group >= len(loads) || loads[group] < 0 {
		return mean
	}
	return loads[group]
}
