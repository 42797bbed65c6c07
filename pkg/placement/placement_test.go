package placement

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

func names(kind string, n int) []uint64 {
	hashes := make([]uint64, n)
	for i := range hashes {
		hashes[i] = Hash(fmt.Sprintf("%s-%d", kind, i))
	}
	return hashes
}

// expectMoved asserts that at most atMost engines of before are in another group in after.
func expectMoved(t *testing.T, before, after *Layout, atMost int) {
	t.Helper()
	moved := 0
	for e, hash := range before.Engines {
		if now := after.EngineIndex(hash); now != None {
			if before.Groups[before.GroupOf[e]].ID != after.Groups[after.GroupOf[now]].ID {
				moved++
			}
		}
	}
	assert.LessOrEqual(t, moved, atMost)
}

func TestLayoutGroups(t *testing.T) {
	for _, c := range []struct{ engines, size, groups int }{
		{0, 10, 0}, {1, 10, 1}, {14, 10, 1}, {16, 10, 2}, {40, 10, 4}, {400, 10, 40}, {40, 0, 4},
	} {
		l := NewLayout(Hash("pool"), names("engine", c.engines), names("router", 9), c.size)
		assert.Len(t, l.Groups, c.groups, "%+v", c)
		members := 0
		for _, g := range l.Groups {
			members += len(g.Engines)
			assert.LessOrEqual(t, len(g.Engines), (c.engines+c.groups-1)/c.groups+sizeSlack)
		}
		assert.Equal(t, c.engines, members)
	}
}

func TestLayoutIsTheSameOnEveryRouter(t *testing.T) {
	engines := names("engine", 60)
	shuffled := append([]uint64(nil), engines...)
	rand.New(rand.NewPCG(1, 1)).Shuffle(len(shuffled), func(i, j int) { shuffled[i], shuffled[j] = shuffled[j], shuffled[i] })
	a := NewLayout(1, engines, names("router", 5), 10)
	b := NewLayout(1, shuffled, names("router", 5), 10)
	assert.Equal(t, a, b)
}

func TestLayoutMovesFewEngines(t *testing.T) {
	engines := names("engine", 403)
	before := NewLayout(1, engines, names("router", 36), 10)
	expectMoved(t, before, NewLayout(1, engines[1:], names("router", 36), 10), 8)
	expectMoved(t, before, NewLayout(1, names("engine", 404), names("router", 36), 10), 8)
}

func TestOwnerMovesOnlyWithItsRouter(t *testing.T) {
	routers := names("router", 9)
	moved := 0
	for g := range uint64(1000) {
		before := routers[Owner(g, routers)]
		after := routers[:8][Owner(g, routers[:8])]
		if before == routers[8] {
			moved++
			continue
		}
		require.Equal(t, before, after)
	}
	assert.InDelta(t, 111, moved, 40)
	assert.Equal(t, None, Owner(1, nil))
}

func TestChooseHome(t *testing.T) {
	l := NewLayout(1, names("engine", 40), names("router", 9), 10)
	rnd := rand.New(rand.NewPCG(1, 2))
	even := Loads{4, 4, 4, 4}
	token := l.Choose(Request{Chat: 7, Engine: 3}, even, 1.25, rnd)
	assert.Equal(t, Choice{Group: l.GroupOf[3], Engine: 3, Origin: FromToken}, token)
	chat := l.Choose(Request{Chat: 7, Engine: None}, even, 1.25, rnd)
	assert.Equal(t, Choice{Group: l.GroupForKey(7), Engine: None, Origin: FromChat}, chat)
	prefix := l.Choose(Request{Chat: 7, Prefix: 9, Engine: None}, even, 1.25, rnd)
	assert.Equal(t, FromPrefix, prefix.Origin)
	empty := NewLayout(1, nil, nil, 10)
	assert.Equal(t, None, empty.Choose(Request{Engine: None}, nil, 1.25, rnd).Group)
}

func TestChooseDivertsOnlyTheExcess(t *testing.T) {
	l := NewLayout(1, names("engine", 40), names("router", 9), 10)
	rnd := rand.New(rand.NewPCG(3, 4))
	hot := l.GroupOf[0]
	loads := Loads{10, 10, 10, 10}
	loads[hot] = 30
	bound := 1.25
	diverted := 0
	const requests = 10_000
	for range requests {
		if l.Choose(Request{Engine: 0}, loads, bound, rnd).Group != hot {
			diverted++
		}
	}
	want := 1 - bound*l.MeanLoad(loads)/30
	assert.InDelta(t, want, float64(diverted)/requests, 0.02)
}

func TestChooseCountsUnknownLoadAsTheMean(t *testing.T) {
	l := NewLayout(1, names("engine", 40), names("router", 9), 10)
	rnd := rand.New(rand.NewPCG(3, 4))
	for range 1000 {
		assert.Equal(t, l.GroupOf[0], l.Choose(Request{Engine: 0}, Loads{-1, -1, -1, -1}, 1.25, rnd).Group)
	}
}

func TestChooseKeepsToEligibleGroups(t *testing.T) {
	l := NewLayout(1, names("engine", 40), names("router", 9), 10)
	rnd := rand.New(rand.NewPCG(3, 4))
	loads := Loads{1, 1, 1, 1}
	used := map[int]bool{}
	for chat := range uint64(200) {
		used[l.Choose(Request{Chat: Hash(fmt.Sprint(chat)), Prefix: 5, Engine: None, EligibleGroups: []int{1, 3}}, loads, 1.25, rnd).Group] = true
	}
	assert.Equal(t, map[int]bool{1: true, 3: true}, used)
	hot := Loads{0, 40, 0, 40}
	for range 200 {
		assert.Contains(t, []int{1, 3}, l.Choose(Request{Engine: None, EligibleGroups: []int{1, 3}}, hot, 1.25, rnd).Group)
	}
	assert.Equal(t, 3, l.Reroute(1, []int{1, 3}, Loads{0, 9, 0, 1}, rnd).Group)
	assert.Equal(t, 1, l.Reroute(1, []int{1}, Loads{0, 9, 0, 1}, rnd).Group, "no other group is eligible")
	assert.Equal(t, None, l.Choose(Request{Engine: None, EligibleGroups: []int{}}, loads, 1.25, rnd).Group)
	token := l.Groups[1].Engines[0]
	assert.Equal(t, FromToken, l.Choose(Request{Engine: token, EligibleGroups: []int{1, 3}}, loads, 1.25, rnd).Origin)
	assert.Equal(t, FromChat, l.Choose(Request{Engine: token, EligibleGroups: []int{3}}, loads, 1.25, rnd).Origin)
}

func TestPrefixSpreadsByItsShare(t *testing.T) {
	l := NewLayout(1, names("engine", 400), names("router", 36), 10)
	rnd := rand.New(rand.NewPCG(3, 4))
	loads := make(Loads, 40)
	for _, c := range []struct {
		share float64
		most  int
	}{{0, 2}, {0.01, 3}, {0.2, 18}, {1, 40}} {
		used := map[int]bool{}
		for chat := range uint64(2000) {
			used[l.Choose(Request{Chat: Hash(fmt.Sprint(chat)), Prefix: 5, PrefixShare: c.share, Engine: None}, loads, 1.25, rnd).Group] = true
		}
		assert.LessOrEqual(t, len(used), c.most)
		assert.GreaterOrEqual(t, len(used), c.most/2)
	}
}

func TestPickEngine(t *testing.T) {
	b := Bounds{LoadFactor: 1.25, FleetMean: 10}
	for _, c := range []struct {
		name    string
		engines []EngineState
		token   int
		want    int
	}{
		{"least loaded", []EngineState{{InFlight: 5}, {InFlight: 3}}, None, 1},
		{"token's engine", []EngineState{{InFlight: 10}, {InFlight: 9}}, 0, 0},
		{"token's engine above the group's mean", []EngineState{{InFlight: 12}, {InFlight: 2}}, 0, 1},
		{"prefix holder within one request", []EngineState{{InFlight: 4}, {InFlight: 5, HasPrefix: true}}, None, 1},
		{"prefix holder too far above", []EngineState{{InFlight: 4}, {InFlight: 7, HasPrefix: true}}, None, 0},
		{"ineligible", []EngineState{{InFlight: 0, Ineligible: true}, {InFlight: 9}}, 0, 1},
		{"slots", []EngineState{{InFlight: 2, Slots: 2}, {InFlight: 9}}, None, 1},
		{"all at the maximum load", []EngineState{{InFlight: 13}, {InFlight: 14}}, 0, None},
		{"no engines", nil, None, None},
	} {
		assert.Equal(t, c.want, PickEngine(c.engines, c.token, b), c.name)
	}
}

func TestTokenRoundTrip(t *testing.T) {
	old := TokenKeys{Current: []byte("0123456789abcdef")}
	token := Token{Engine: 1, Model: 2, Chat: 3, Group: 4, Prefix: 5}
	text := old.Seal(token)
	assert.Len(t, text, 76)
	rotated := TokenKeys{Current: []byte("fedcba9876543210"), Previous: old.Current}
	for _, keys := range []TokenKeys{old, rotated} {
		got, err := keys.Open(text)
		require.NoError(t, err)
		assert.Equal(t, token, got)
	}
	for _, bad := range []string{"", "x", text[:75] + "!", "B" + text[1:], text[:20] + "A" + text[21:]} {
		if bad == text {
			continue
		}
		_, err := old.Open(bad)
		assert.ErrorIs(t, err, ErrInvalidToken, bad)
	}
	_, err := TokenKeys{Current: []byte("another key of 16")}.Open(text)
	assert.ErrorIs(t, err, ErrInvalidToken)
}

func FuzzOpen(f *testing.F) {
	keys := TokenKeys{Current: []byte("0123456789abcdef")}
	f.Add(keys.Seal(Token{Engine: 1}))
	f.Add("")
	f.Fuzz(func(t *testing.T, text string) {
		if token, err := keys.Open(text); err == nil {
			assert.Equal(t, text, keys.Seal(token))
		}
	})
}
